"""The steps of the demonstration."""

import asyncio
import dataclasses
import itertools
import signal
from collections.abc import Callable

from kingcuphead.demo._preparation import prepare_fleet
from kingcuphead.localfleet import (
    ChatCall,
    ChatResult,
    DaemonPlan,
    Evidence,
    Exchange,
    LocalFleet,
    LocalOrganisation,
    place_order,
    read_budgets,
    read_dispatches,
    read_executions,
    send_chat,
)

ATLAS = LocalOrganisation(
    "atlas-bois", 2_000_000, ("review", "short"), policy="available"
)
SKUPNA = LocalOrganisation("skupna-pot", 2_000_000, ("short", "background"))
SMALL = LocalOrganisation("small-office", 600)
ORGANISATIONS = (ATLAS, SKUPNA, SMALL)

#: Requests of each large organisation in the lunch hour.
LUNCH_REQUESTS = 40
#: Requests of the small organisation, more than its budget pays for.
SMALL_REQUESTS = 20
#: Output tokens of an answer that is still streamed when its daemon ends.
LONG_ANSWER_TOKENS = 200
#: Seconds until such an answer has begun.
STREAM_HEAD_START = 0.6
#: Seconds that a graceful shutdown may take.
SHUTDOWN_TIMEOUT = 20.0
#: Seconds until the daemons have the configuration in force.
START_TIMEOUT = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Two tries of one order."""

    #: The first answer.
    first: ChatResult
    #: The second answer.
    second: ChatResult


class Scenario:
    """Runs the steps on a fleet that has started.

    Parameters
    ----------
    fleet
        The fleet.
    say
        Shows progress.
    """

    def __init__(self, fleet: LocalFleet, say: Callable[[str], None]) -> None:
        self._fleet = fleet
        self._say = say
        self._numbers = itertools.count(1)
        self._exchanges: list[Exchange] = []

    async def run(self) -> Evidence:
        """Run every step and return the evidence for the audit."""
        await self._prepare()
        await self._send_lunch_hour()
        await self._order_twice()
        await self._exhaust_small_budget()
        await self._kill_in_mid_stream()
        await self._stop_in_mid_stream()
        return await self._collect()

    async def _prepare(self) -> None:
        self._say("creating everything with the command-line tool")
        await prepare_fleet(self._fleet.plan, ORGANISATIONS, LONG_ANSWER_TOKENS)
        probe = self._make_call(ATLAS, 4)
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT
        for daemon in self._fleet.daemons:
            while not (await send_chat(self._fleet.client, daemon, probe)).whole:
                if asyncio.get_running_loop().time() > deadline:
                    raise TimeoutError(f"{daemon.name} does not serve")
                await asyncio.sleep(0.2)

    async def _send_lunch_hour(self) -> None:
        self._say(f"lunch hour: {2 * LUNCH_REQUESTS} requests of two organisations")
        calls = [
            self._make_call(organisation, 24, stream=number % 2 == 0)
            for number in range(LUNCH_REQUESTS)
            for organisation in (ATLAS, SKUPNA)
        ]
        results = await asyncio.gather(*map(self._send, calls))
        whole = sum(result.whole for result in results)
        self._say(f"  {whole} of {len(results)} answered whole")

    async def _order_twice(self) -> None:
        self._say("one timber order, placed twice through two daemons")
        first, second = self._fleet.daemons[:2]
        content = b'{"frame": "A-12"}'
        client = self._fleet.client
        results = [
            await place_order(client, daemon, ATLAS, "order-A-12", content)
            for daemon in (first, second)
        ]
        self._say(f"  first {_describe(results[0])}, second {_describe(results[1])}")

    async def _exhaust_small_budget(self) -> None:
        self._say(f"a budget of {SMALL.limit} tokens, {SMALL_REQUESTS} requests")
        calls = [self._make_call(SMALL, 16) for _ in range(SMALL_REQUESTS)]
        results = await asyncio.gather(*map(self._send, calls))
        refused = [result for result in results if result.reason]
        self._say(f"  {len(refused)} refused, for example {_describe(refused[0])}")

    async def _kill_in_mid_stream(self) -> None:
        victim = self._fleet.daemons[0]
        self._say(f"SIGKILL to {victim.name} in mid-stream, retry elsewhere")
        call = self._make_call(ATLAS, LONG_ANSWER_TOKENS, stream=True)
        task = asyncio.create_task(self._send(call, victim))
        await asyncio.sleep(STREAM_HEAD_START)
        await self._fleet.kill(victim.name)
        broken = await task
        retried = await self._send(call, self._fleet.daemons[1])
        self._say(f"  first {_describe(broken)}, retry {_describe(retried)}")

    async def _stop_in_mid_stream(self) -> None:
        leaver = self._fleet.daemons[1]
        self._say(f"SIGTERM to {leaver.name} in mid-stream")
        call = self._make_call(SKUPNA, LONG_ANSWER_TOKENS, stream=True)
        task = asyncio.create_task(self._send(call, leaver))
        await asyncio.sleep(STREAM_HEAD_START)
        self._fleet.signal(leaver.name, signal.SIGTERM)
        result = await task
        status = await self._fleet.get_process(leaver.name).wait(SHUTDOWN_TIMEOUT)
        self._say(f"  stream {_describe(result)}, exit status {status}")
        if not result.whole or status != 0:
            raise RuntimeError("the graceful shutdown cut a request off")

    async def _collect(self) -> Evidence:
        client, plan = self._fleet.client, self._fleet.plan
        return Evidence(
            exchanges=tuple(self._exchanges),
            books=await read_budgets(client, plan),
            executions=await read_executions(client, plan),
            dispatches=await read_dispatches(client, plan),
        )

    async def _send(
        self, call: ChatCall, daemon: DaemonPlan | None = None
    ) -> ChatResult:
        """Send a request, to each daemon in turn unless one is named."""
        daemons = self._fleet.daemons
        chosen = daemon or daemons[len(self._exchanges) % len(daemons)]
        result = await send_chat(self._fleet.client, chosen, call)
        self._exchanges.append(Exchange(call, result))
        return result

    def _make_call(
        self, organisation: LocalOrganisation, tokens: int, stream: bool = False
    ) -> ChatCall:
        number = next(self._numbers)
        return ChatCall(
            organisation,
            request_id=f"demo-{number}",
            prompt=f"Question {number} of {organisation.name}",
            max_tokens=tokens,
            stream=stream,
        )


def _describe(result: ChatResult) -> str:
    if result.whole:
        return "answered whole"
    if result.reason:
        return f"refused: {result.reason}, {result.execution.replace('_', ' ')}"
    return "broken off"
