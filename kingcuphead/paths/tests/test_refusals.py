"""What a refused connection proves, by what other daemons say or don't say."""

import asyncio
import contextlib
import random
from typing import Any

import pytest
from loguru import logger

from kingcuphead.logs import ALLOWED_FIELDS
from kingcuphead.paths import Connector, PathMonitor, PeerPaths
from kingcuphead.paths._connector import PROBE_TIMEOUT
from kingcuphead.paths._frames import read_message, write_message
from kingcuphead.paths._messages import TunnelAnswered, TunnelAsked, TunnelOutcome
from kingcuphead.timing import get_time

#: Bound in seconds on asking other daemons.
TIMEOUT = 0.4
#: Seconds beyond the bounds that a judgement may take.
SLACK = 0.3
#: In place of an outcome: the daemon accepts connections and never answers.
SILENT = None


@contextlib.asynccontextmanager
async def serve(answer):
    """Listen on loopback; yield the address."""
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


def make_helper(outcome, asked):
    """Return the handler of a daemon that answers all questions alike."""

    async def answer(reader, writer):
        asked.append(outcome)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            if outcome is SILENT:
                await reader.read()
                return
            stream: Any = _Stream(reader, writer)
            await read_message(stream, TunnelAsked)
            await write_message(stream, TunnelAnswered(outcome))
            await reader.read()

    return answer


class _Stream:
    """Reads and writes as an `IOStream` does."""

    def __init__(self, reader, writer):
        self.read_bytes = reader.readexactly
        self._writer = writer

    async def write(self, data):
        self._writer.write(data)
        await self._writer.drain()


async def accept(reader, writer):
    await reader.read()
    writer.close()


async def find_refusing_address():
    async with serve(accept) as address:
        return "{}:{}".format(*address)


class Judge:
    """A connector with other daemons and targets on loopback.

    Parameters
    ----------
    outcomes
        What each of the other daemons answers.
    has_path
        Whether this daemon reaches the other target.
    seed
        Decides in which order the other daemons are asked.
    """

    def __init__(self, outcomes, has_path=True, seed=1):
        self._outcomes = outcomes
        self._rng = random.Random(seed)
        self._has_path = has_path
        self.asked = []

    async def __aenter__(self):
        self._stack = contextlib.AsyncExitStack()
        helpers = [
            await self._stack.enter_async_context(
                serve(make_helper(outcome, self.asked))
            )
            for outcome in self._outcomes
        ]
        other = await find_refusing_address()
        if self._has_path:
            address = await self._stack.enter_async_context(serve(accept))
            other = "{}:{}".format(*address)
        self.target = await find_refusing_address()
        self.peer_paths = PeerPaths(self._rng)
        self.peer_paths.apply_peers(tuple(helpers))
        self.connector = Connector(
            PathMonitor(),
            self.peer_paths,
            lambda: (self.target, other),
            self._rng,
        )
        return self

    async def __aexit__(self, *error):
        await self._stack.aclose()

    async def judge(self):
        return await self.connector.confirm_refusal(self.target, TIMEOUT)


def play(scenario, outcomes, **options):
    async def main():
        async with asyncio.timeout(20), Judge(outcomes, **options) as judge:
            return await scenario(judge)

    return asyncio.run(main())


class TestRefusalsBesideSilentDaemons:
    """Guards against crashes that aren't counted since lost daemons don't confirm them.

    And against living targets that count as crashed at a daemon without a path.
    """

    @pytest.mark.parametrize("silent", [1, 2, 3, 6])
    def test_without_an_answer_the_own_path_decides(self, silent):
        assert play(Judge.judge, [SILENT] * silent)
        assert not play(Judge.judge, [SILENT] * silent, has_path=False)

    @pytest.mark.parametrize("silent", [1, 2])
    @pytest.mark.parametrize("has_path", [True, False])
    def test_the_answer_of_one_daemon_decides(self, silent, has_path):
        refused = [*[SILENT] * silent, TunnelOutcome.REFUSED]
        assert play(Judge.judge, refused, has_path=has_path)
        opened = [*[SILENT] * silent, TunnelOutcome.OPENED]
        assert not play(Judge.judge, opened, has_path=has_path)

    @pytest.mark.parametrize("silent", [0, 1, 2])
    def test_daemons_without_a_path_say_nothing(self, silent):
        outcomes = [*[SILENT] * silent, TunnelOutcome.UNAVAILABLE]
        assert play(Judge.judge, outcomes)
        assert not play(Judge.judge, outcomes, has_path=False)

    def test_the_judgement_reaches_the_log(self):
        fields = set()
        sink = logger.add(lambda message: fields.update(message.record["extra"]))
        try:
            play(Judge.judge, [SILENT])
        finally:
            logger.remove(sink)
        assert {"judgement", "address"} <= fields & ALLOWED_FIELDS

    def test_the_judgement_comes_in_time(self):
        async def scenario(judge):
            began_at = get_time()
            assert await judge.judge()
            return get_time() - began_at

        assert play(scenario, [SILENT] * 3) <= TIMEOUT + PROBE_TIMEOUT + SLACK

    def test_a_daemon_that_did_not_answer_is_not_asked_each_time(self):
        async def scenario(judge):
            for _ in range(3):
                assert await judge.judge()
            assert len(judge.asked) == 2

        play(scenario, [SILENT] * 2)


class TestTunnelsBesideSilentDaemons:
    """Guards against daemons without a path that wait for lost ones to help."""

    @pytest.mark.parametrize("silent", [0, 1, 2])
    def test_a_daemon_that_answers_helps(self, silent):
        async def scenario(judge):
            judge.connector._monitor.is_lost = True
            connection = await judge.connector.connect(judge.target, TIMEOUT)
            connection.close()

        for seed in range(6):
            play(scenario, [*[SILENT] * silent, TunnelOutcome.OPENED], seed=seed)
