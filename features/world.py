"""What the steps of one scenario share."""

import asyncio
import itertools
import shlex
import signal

from kingcuphead.localfleet import (
    ChatCall,
    Evidence,
    Exchange,
    LocalFleet,
    LocalOrganisation,
    check_settings,
    make_plan,
    place_order,
    read_budgets,
    read_dispatches,
    read_executions,
    run_command,
    seed_fleet,
    send_chat,
)

#: Seconds until the daemons serve after the first records were written.
START_TIMEOUT = 15.0
#: Seconds in which a condition that a scenario waits for must come true.
CONDITION_TIMEOUT = 20.0
POLL_INTERVAL = 0.1
ENGINE_OPTIONS = ("--answer-tokens", "400", "--token-interval-ms", "8")


class World:
    """A fleet, its callers, and what they have seen."""

    def __init__(self, loop):
        self.loop = loop
        self.fleet = None
        self.daemons = []
        self.command = None
        self.reply = None
        self.organisations = {}
        self.running = {}
        self.results = {}
        self.exchanges = []
        self.lost_engines = set()
        self.frozen = set()
        self.numbers = itertools.count(1)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def close(self):
        if self.fleet is not None:
            self.run(self.fleet.close())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.close()

    def describe(self):
        if self.fleet is None:
            return ""
        logs = (
            f"--- {daemon.name}\n{self.fleet.get_process(daemon.name).read_log()}"
            for daemon in self.daemons
        )
        return "\n".join(logs)

    def start(
        self, daemons, engines, organisations, options=ENGINE_OPTIONS, overrides=None
    ):
        self.organisations = {each.name: each for each in organisations}
        plan = make_plan(daemons, engines, engine_options=options)
        self.fleet = LocalFleet(plan, overrides)
        self.daemons = list(plan.daemons)
        self.run(self.fleet.start())
        self.run(seed_fleet(plan, tuple(organisations), max_output_tokens=400))
        self.run(self._wait_for_service())

    async def _wait_for_service(self):
        headers = {
            "Authorization": f"Bearer {next(iter(self.organisations.values())).key}"
        }
        for daemon in self.fleet.daemons:
            url = f"{daemon.caller_url}/v1/models"
            await self.wait_until(
                lambda url=url: self._is_ready(url, headers), START_TIMEOUT
            )

    async def _is_ready(self, url, headers):
        return (await self.fleet.client.get(url, headers)).status == 200

    async def wait_until(self, check, timeout=CONDITION_TIMEOUT):
        deadline = self.loop.time() + timeout
        while not await check():
            assert self.loop.time() < deadline, f"not so within {timeout} s"
            await asyncio.sleep(POLL_INTERVAL)

    def list_serving(self):
        return [
            daemon
            for daemon in self.daemons
            if self.fleet.get_process(daemon.name).running
            and daemon.name not in self.frozen
        ]

    def get_daemon(self, number):
        return self.daemons[number - 1]

    def replace(self, number):
        """Start a new instance; it takes the number of the one that has ended."""
        old = self.get_daemon(number)
        self.daemons[number - 1] = self.run(self.fleet.replace_daemon(old.name))

    def make_call(self, organisation, tokens, stream=False, name=""):
        number = next(self.numbers)
        return ChatCall(
            self.organisations[organisation],
            request_id=name or f"request-{number}",
            prompt=f"Question {name or number}",
            max_tokens=tokens,
            stream=stream,
        )

    async def send(self, call, daemon):
        result = await send_chat(self.fleet.client, daemon, call)
        self.exchanges.append(Exchange(call, result))
        return result

    def begin(self, name, call, daemon):
        self.running[name] = self.loop.create_task(self.send(call, daemon))

    def get_result(self, name):
        if name in self.running:
            self.results[name] = self.run(self.running.pop(name))
        return self.results[name]

    def order(self, organisation, key, daemon):
        content = f"order {key}".encode()
        return self.run(
            place_order(
                self.fleet.client,
                daemon,
                self.organisations[organisation],
                key,
                content,
            )
        )

    def operate(self, number, text):
        """Run the command-line tool as a process, through one daemon."""
        arguments = tuple(shlex.split(text))
        return self.run(run_command(self.get_daemon(number), arguments))

    def check_settings(self, path):
        return self.run(check_settings(path))

    def signal(self, number, name):
        self.fleet.signal(self.get_daemon(number).name, signal.Signals[name])

    def sleep(self, seconds):
        self.run(asyncio.sleep(seconds))

    async def collect(self):
        client, plan = self.fleet.client, self.fleet.plan
        return Evidence(
            tuple(self.exchanges),
            await read_budgets(client, plan),
            await read_executions(client, plan, frozenset(self.lost_engines)),
            await read_dispatches(client, plan),
        )


def make_organisation(name, limit, policy="strict"):
    return LocalOrganisation(name, limit, policy=policy)
