"""Steps of the demonstration."""

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

#: Requests that each large organisation sends concurrently at peak load.
PEAK_REQUESTS = 40
#: Requests of the small organisation; more than its budget covers.
SMALL_REQUESTS = 20
#: Output tokens of a stream that is still active when its daemon is stopped.
LONG_ANSWER_TOKENS = 200
#: Seconds after which such a stream has started.
STREAM_START_DELAY = 0.6
#: Seconds within which a graceful shutdown must end.
SHUTDOWN_TIMEOUT = 20.0
#: Seconds within which all daemons must serve the new configuration.
START_TIMEOUT = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Results of two attempts to place one order."""

    #: Result of the first attempt.
    first: ChatResult
    #: Result of the second attempt.
    second: ChatResult


class Scenario:
    """Steps of the demonstration on a running fleet.

    Parameters
    ----------
    fleet
        Fleet whose processes have started.
    report_progress
        Prints a line about the progress.
    """

    def __init__(
        self, fleet: LocalFleet, report_progress: Callable[[str], None]
    ) -> None:
        self._fleet = fleet
        self._report_progress = report_progress
        self._numbers = itertools.count(1)
        self._exchanges: list[Exchange] = []

    async def run(self) -> Evidence:
        """Run all steps and return the audit records."""
        await self._prepare()
        await self._send_peak_load()
        await self._place_order_twice()
        await self._exhaust_small_budget()
        await self._kill_daemon_during_stream()
        await self._stop_daemon_during_stream()
        return await self._collect_evidence()

    async def _prepare(self) -> None:
        self._report_progress("creating records and budgets with the command-line tool")
        await prepare_fleet(self._fleet.plan, ORGANISATIONS, LONG_ANSWER_TOKENS)
        probe = self._make_call(ATLAS, 4)
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT
        for daemon in self._fleet.daemons:
            while not (await send_chat(self._fleet.client, daemon, probe)).whole:
                if asyncio.get_running_loop().time() > deadline:
                    raise TimeoutError(f"{daemon.name} does not answer requests")
                await asyncio.sleep(0.2)

    async def _send_peak_load(self) -> None:
        self._report_progress(
            f"peak load: {2 * PEAK_REQUESTS} requests of two organisations"
        )
        calls = [
            self._make_call(organisation, 24, stream=number % 2 == 0)
            for number in range(PEAK_REQUESTS)
            for organisation in (ATLAS, SKUPNA)
        ]
        results = await asyncio.gather(*map(self._send, calls))
        complete = sum(result.whole for result in results)
        self._report_progress(f"  {complete} of {len(results)} answered completely")

    async def _place_order_twice(self) -> None:
        self._report_progress("one order, placed twice through two daemons")
        first, second = self._fleet.daemons[:2]
        content = b'{"frame": "A-12"}'
        client = self._fleet.client
        results = [
            await place_order(client, daemon, ATLAS, "order-A-12", content)
            for daemon in (first, second)
        ]
        self._report_progress(
            f"  first {_describe(results[0])}, second {_describe(results[1])}"
        )

    async def _exhaust_small_budget(self) -> None:
        self._report_progress(
            f"a budget of {SMALL.limit} tokens, {SMALL_REQUESTS} requests"
        )
        calls = [self._make_call(SMALL, 16) for _ in range(SMALL_REQUESTS)]
        results = await asyncio.gather(*map(self._send, calls))
        refused = [result for result in results if result.reason]
        self._report_progress(
            f"  {len(refused)} refused, for example {_describe(refused[0])}"
        )

    async def _kill_daemon_during_stream(self) -> None:
        killed = self._fleet.daemons[0]
        self._report_progress(
            f"SIGKILL to {killed.name} during a stream, retry through another daemon"
        )
        call = self._make_call(ATLAS, LONG_ANSWER_TOKENS, stream=True)
        task = asyncio.create_task(self._send(call, killed))
        await asyncio.sleep(STREAM_START_DELAY)
        await self._fleet.kill(killed.name)
        interrupted = await task
        retried = await self._send(call, self._fleet.daemons[1])
        self._report_progress(
            f"  first {_describe(interrupted)}, retry {_describe(retried)}"
        )

    async def _stop_daemon_during_stream(self) -> None:
        stopped = self._fleet.daemons[1]
        self._report_progress(f"SIGTERM to {stopped.name} during a stream")
        call = self._make_call(SKUPNA, LONG_ANSWER_TOKENS, stream=True)
        task = asyncio.create_task(self._send(call, stopped))
        await asyncio.sleep(STREAM_START_DELAY)
        self._fleet.signal(stopped.name, signal.SIGTERM)
        result = await task
        status = await self._fleet.get_process(stopped.name).wait(SHUTDOWN_TIMEOUT)
        self._report_progress(f"  stream {_describe(result)}, exit status {status}")
        if not result.whole or status != 0:
            raise RuntimeError(
                f"graceful shutdown of {stopped.name} failed: "
                f"exit status {status}, stream {result}"
            )

    async def _collect_evidence(self) -> Evidence:
        client, plan = self._fleet.client, self._fleet.plan
        return Evidence(
            exchanges=tuple(self._exchanges),
            budgets=await read_budgets(client, plan),
            executions=await read_executions(client, plan),
            dispatches=await read_dispatches(client, plan),
        )

    async def _send(
        self, call: ChatCall, daemon: DaemonPlan | None = None
    ) -> ChatResult:
        """Send a request to a daemon, by default to all daemons in rotation."""
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
        return "answered completely"
    if result.reason:
        return f"refused: {result.reason}, {result.execution.replace('_', ' ')}"
    return "interrupted"
