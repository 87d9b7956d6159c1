"""State and helpers that the steps of one scenario share."""

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

#: Maximum time from the first records to daemons that serve, in seconds.
START_TIMEOUT = 15.0
#: Default maximum time until an awaited condition holds, in seconds.
CONDITION_TIMEOUT = 20.0
#: Time between two checks of an awaited condition, in seconds.
POLL_INTERVAL = 0.1
#: Engines generate up to 400 tokens for an answer, one every 8 ms.
ENGINE_OPTIONS = ("--answer-tokens", "400", "--token-interval-ms", "8")


class World:
    """A fleet with its callers, and the results of their requests."""

    def __init__(self, loop):
        self.loop = loop
        self.fleet = None
        self.daemons = []
        self.command_result = None
        self.raw_response = None
        self.organisations = {}
        self.running_requests = {}
        self.results = {}
        self.exchanges = []
        self.killed_engines = set()
        self.frozen_daemons = set()
        self.request_numbers = itertools.count(1)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def close(self):
        if self.fleet is not None:
            self.run(self.fleet.close())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.close()

    def read_logs(self):
        if self.fleet is None:
            return ""
        logs = (
            f"--- {daemon.name}\n{self.fleet.get_process(daemon.name).read_log()}"
            for daemon in self.daemons
        )
        return "\n".join(logs)

    def start_fleet(
        self, daemons, engines, organisations, options=ENGINE_OPTIONS, overrides=None
    ):
        self.organisations = {item.name: item for item in organisations}
        plan = make_plan(daemons, engines, engine_options=options)
        self.fleet = LocalFleet(plan, overrides)
        self.daemons = list(plan.daemons)
        self.run(self.fleet.start())
        self.run(seed_fleet(plan, tuple(organisations), max_output_tokens=400))
        self.run(self._wait_for_daemons())

    async def _wait_for_daemons(self):
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

    async def wait_until(self, is_met, timeout=CONDITION_TIMEOUT):
        deadline = self.loop.time() + timeout
        while not await is_met():
            assert self.loop.time() < deadline, f"condition not met in {timeout} s"
            await asyncio.sleep(POLL_INTERVAL)

    def list_serving_daemons(self):
        return [
            daemon
            for daemon in self.daemons
            if self.fleet.get_process(daemon.name).running
            and daemon.name not in self.frozen_daemons
        ]

    def get_daemon(self, number):
        return self.daemons[number - 1]

    def replace_daemon(self, number):
        """Start a new instance, which gets the number of the instance that ended."""
        old = self.get_daemon(number)
        self.daemons[number - 1] = self.run(self.fleet.replace_daemon(old.name))

    def make_call(self, organisation, tokens, stream=False, name=""):
        number = next(self.request_numbers)
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

    def start_request(self, name, call, daemon):
        self.running_requests[name] = self.loop.create_task(self.send(call, daemon))

    def get_result(self, name):
        if name in self.running_requests:
            self.results[name] = self.run(self.running_requests.pop(name))
        return self.results[name]

    def place_order(self, organisation, key, daemon):
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

    def run_operator_command(self, number, text):
        """Run the command-line tool as a process against one daemon."""
        arguments = tuple(shlex.split(text))
        return self.run(run_command(self.get_daemon(number), arguments))

    def check_settings(self, path):
        return self.run(check_settings(path))

    def send_signal(self, number, name):
        self.fleet.signal(self.get_daemon(number).name, signal.Signals[name])

    def sleep(self, seconds):
        self.run(asyncio.sleep(seconds))

    async def collect_evidence(self):
        client, plan = self.fleet.client, self.fleet.plan
        return Evidence(
            tuple(self.exchanges),
            await read_budgets(client, plan),
            await read_executions(client, plan, frozenset(self.killed_engines)),
            await read_dispatches(client, plan),
        )


def make_organisation(name, limit, policy="strict"):
    return LocalOrganisation(name, limit, policy=policy)
