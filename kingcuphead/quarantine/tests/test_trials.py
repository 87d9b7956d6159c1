"""Trials of quarantined parts, with a table of rows in memory."""

import asyncio

import msgspec
import pytest

from kingcuphead.quarantine import AnswersReported, RequestIdentity
from kingcuphead.quarantine._rows import encode_quarantine
from kingcuphead.quarantine._trials import (
    MAX_TRIALS,
    TRIAL_DELAY,
    TRIAL_INTERVAL,
    TrialHistory,
)
from kingcuphead.quarantine.tests._daemon import REQUEST, SETTINGS, Clock, Daemon
from kingcuphead.storage import Committed, Unknown
from kingcuphead.storage.tests._memory_part import MemoryTablePart

PART = "part:a"


class LosingTablePart(MemoryTablePart):
    """Applies transactions; their replies are lost while it is told so."""

    loses_replies = False

    async def commit(self, transaction):
        outcome = await super().commit(transaction)
        is_lost = self.loses_replies and isinstance(outcome, Committed)
        return Unknown() if is_lost else outcome


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def table(clock):
    return LosingTablePart(lambda: clock.now)


def accuse(daemon):
    """Let four targets crash under requests that share only one part."""
    for number in range(SETTINGS.min_targets_of_part):
        daemon.crash(f"t{number}", f"f{number}", (PART, f"part:b{number}"))
    daemon.exchange.judge_parts()


def make_request(name):
    return RequestIdentity(f"g{name}", (PART, f"part:c{name}"))


async def start_after_verdict(clock, table, count=1, identity="e"):
    """Accuse the part, and replace the daemon by new ones that know the rows alone."""
    daemon = Daemon(clock, table)
    accuse(daemon)
    await daemon.exchange.synchronise()
    started = [Daemon(clock, table, f"{identity}{number}/1") for number in range(count)]
    for each in started:
        await each.exchange.synchronise()
        assert each.exchange.get_remaining(make_request("first"))
    return started


async def send(daemon, name):
    """Return whether a request with the part may be run, after the daemon's reads."""
    request = make_request(name)
    for _ in range(2):
        if not daemon.exchange.get_remaining(request):
            return True
        if daemon.exchange.claim_trial(request) is not None:
            return True
        if daemon.exchange.is_unsaved:
            await daemon.exchange.synchronise()
    return False


class TestWrongVerdicts:
    """Guards against a part that stays refused since nothing can clear it any more."""

    def test_an_answer_to_a_trial_clears_the_part_for_all(self, clock, table):
        async def play():
            first, second = await start_after_verdict(clock, table, 2)
            assert not await send(first, "early")
            clock.now += TRIAL_DELAY
            assert await send(first, "trial")
            first.sent.clear()
            first.exchange.record_answer(make_request("trial"))
            assert not first.exchange.get_remaining(make_request("next"))
            answers = AnswersReported(PART, "e0/1", 1)
            assert answers in first.sent
            second.handle(answers)
            assert not second.exchange.get_remaining(make_request("next"))
            await first.exchange.synchronise()
            assert PART not in table.rows
            new = Daemon(clock, table, "n/1")
            await new.exchange.synchronise()
            assert not new.exchange.get_remaining(make_request("next"))

        asyncio.run(play())

    def test_a_trial_without_an_outcome_is_followed_by_another(self, clock, table):
        async def play():
            (daemon,) = await start_after_verdict(clock, table)
            clock.now += TRIAL_DELAY
            assert await send(daemon, "lost")
            assert not await send(daemon, "beside it")
            clock.now += TRIAL_INTERVAL
            assert await send(daemon, "again")

        asyncio.run(play())

    def test_a_trial_that_reached_no_target_is_used_by_another_request(
        self, clock, table
    ):
        async def play():
            (daemon,) = await start_after_verdict(clock, table)
            clock.now += TRIAL_DELAY
            assert not daemon.exchange.claim_trial(make_request("asks"))
            await daemon.exchange.synchronise()
            for number in range(5):
                trial = daemon.exchange.claim_trial(make_request(f"{number}"))
                assert trial is not None
                daemon.exchange.give_back(trial)

        asyncio.run(play())

    def test_a_verdict_without_a_row_is_tried_too(self, clock, table):
        """Its daemons may have ended before it was written."""

        async def play():
            daemon = Daemon(clock, table)
            accuse(daemon)
            other = Daemon(clock, table, "e/1")
            for message in daemon.sent:
                other.handle(message)
            clock.now += TRIAL_DELAY
            assert await send(other, "trial")
            assert PART in table.rows

        asyncio.run(play())


class TestBoundOfTrials:
    """Guards against trials of a part that does crash targets beyond those allowed."""

    @pytest.mark.parametrize("count", [1, 2, 7])
    def test_it_holds_for_all_daemons_together_and_after_kills(
        self, clock, table, count
    ):
        async def play():
            daemons = await start_after_verdict(clock, table, count)
            trials = 0
            for number in range(60):
                clock.now += 1.0
                if number % 10 == 9:
                    daemons = [
                        Daemon(clock, table, f"e{number}{each}/1")
                        for each in range(count)
                    ]
                for index, daemon in enumerate(daemons):
                    if daemon.is_new:
                        daemon.is_new = False
                        await daemon.exchange.synchronise()
                    trials += await send(daemon, f"{number}{index}")
            assert trials == MAX_TRIALS

        asyncio.run(play())

    def test_a_trial_that_crashes_its_target_is_the_last(self, clock, table):
        async def play():
            first, second = await start_after_verdict(clock, table, 2)
            clock.now += TRIAL_DELAY
            assert await send(first, "trial")
            clock.now += 1.0
            first.exchange.record_crash(make_request("trial"), "u1", 0.0)
            await first.exchange.synchronise()
            for number in range(20):
                clock.now += TRIAL_INTERVAL
                assert not await send(second, f"{number}")

        asyncio.run(play())

    @pytest.mark.parametrize("is_told", [True, False])
    def test_an_unused_trial_ends_with_the_crash_of_another(
        self, clock, table, is_told
    ):
        async def play():
            first, second = await start_after_verdict(clock, table, 2)
            clock.now += TRIAL_DELAY
            for daemon in (first, second):
                assert daemon.exchange.claim_trial(make_request("asks")) is None
                await daemon.exchange.synchronise()
                clock.now += TRIAL_INTERVAL
                daemon.sent.clear()
            assert await send(first, "trial")
            first.exchange.record_crash(make_request("trial"), "u1", 0.0)
            await first.exchange.synchronise()
            if is_told:
                for message in first.sent:
                    second.handle(message)
            else:
                await second.exchange.synchronise()
            assert not await send(second, "late")

        asyncio.run(play())

    def test_daemons_that_ask_at_once_get_one_trial(self, clock, table):
        async def play():
            daemons = await start_after_verdict(clock, table, 5)
            clock.now += TRIAL_DELAY
            for daemon in daemons:
                daemon.exchange.claim_trial(make_request("asks"))
            await asyncio.gather(*(each.exchange.synchronise() for each in daemons))
            granted = [each.exchange.claim_trial(make_request("t")) for each in daemons]
            assert sum(trial is not None for trial in granted) == 1

        asyncio.run(play())

    def test_a_trial_whose_count_is_not_confirmed_is_not_used(self, clock, table):
        async def play():
            (daemon,) = await start_after_verdict(clock, table)
            table.loses_replies = True
            for number in range(10):
                clock.now += TRIAL_INTERVAL
                assert not await send(daemon, f"{number}")
            table.loses_replies = False
            clock.now += TRIAL_INTERVAL
            assert not await send(daemon, "last")

        asyncio.run(play())

    def test_nothing_is_tried_while_the_store_is_away(self, clock, table):
        async def play():
            (daemon,) = await start_after_verdict(clock, table)
            table.is_down = True
            for number in range(10):
                clock.now += TRIAL_INTERVAL
                assert not await send(daemon, f"{number}")
            table.is_down = False
            clock.now += TRIAL_INTERVAL
            assert await send(daemon, "last")

        asyncio.run(play())

    def test_a_quarantine_that_is_narrowed_keeps_its_count(self, clock, table):
        async def play():
            daemon = Daemon(clock, table)
            history = TrialHistory(MAX_TRIALS, 0.0)
            store_time = int(clock.now * 1_000)
            key = f"{PART}+part:z"
            table.rows[key] = encode_quarantine(3_600.0, store_time, history)
            daemon.exchange.record_answer(RequestIdentity("z", ("part:z",)))
            await daemon.exchange.synchronise()
            assert list(table.rows) == [PART]
            clock.now += TRIAL_INTERVAL
            assert not await send(daemon, "late")

        asyncio.run(play())

    def test_a_request_that_is_quarantined_as_a_whole_is_not_tried(self, clock, table):
        async def play():
            daemon = Daemon(clock, table)
            for number in range(SETTINGS.min_crashed_targets):
                daemon.crash(f"t{number}")
            for _ in range(5):
                await daemon.exchange.synchronise()
                clock.now += TRIAL_INTERVAL
                assert daemon.exchange.claim_trial(REQUEST) is None

        asyncio.run(play())

    def test_a_trial_does_not_cover_what_is_quarantined_later(self, clock, table):
        async def play():
            (daemon,) = await start_after_verdict(clock, table)
            clock.now += TRIAL_DELAY
            request = make_request("t")
            daemon.exchange.claim_trial(request)
            await daemon.exchange.synchronise()
            trial = daemon.exchange.claim_trial(request)
            assert daemon.exchange.covers(trial, request)
            for number in range(SETTINGS.min_crashed_targets):
                daemon.crash(f"v{number}", request.fingerprint)
            assert not daemon.exchange.covers(trial, request)

        asyncio.run(play())


class _RowBeforeTrials(msgspec.Struct, frozen=True):
    """The row as versions without trials read and write it."""

    expires_ms: int


class TestRowsOfBothVersions:
    """Guards against rows that the version before or after can't read."""

    def test_a_version_without_trials_reads_rows_with_them(self):
        value = encode_quarantine(60.0, 5_000, TrialHistory(2, 1.0))
        assert msgspec.json.decode(value, type=_RowBeforeTrials).expires_ms == 65_000

    def test_rows_without_trials_are_as_before(self):
        value = encode_quarantine(60.0, 5_000)
        assert value == msgspec.json.encode(_RowBeforeTrials(65_000))

    def test_a_row_of_the_version_before_has_no_trials(self, clock, table):
        async def play():
            store_time = int(clock.now * 1_000)
            row = _RowBeforeTrials(store_time + 3_000_000)
            table.rows[PART] = msgspec.json.encode(row)
            daemon = Daemon(clock, table)
            await daemon.exchange.synchronise()
            assert await send(daemon, "trial")

        asyncio.run(play())
