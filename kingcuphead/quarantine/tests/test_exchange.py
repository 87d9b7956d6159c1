import asyncio
import dataclasses
import random

import pytest

from kingcuphead.quarantine import (
    AnswersReported,
    CrashReported,
    FingerprintQuarantined,
    QuarantineExchange,
    QuarantineMessage,
    QuarantineReported,
    QuarantineSettings,
)
from kingcuphead.quarantine._answers import AnswerCounts
from kingcuphead.quarantine._table import CRASH_LIFETIME, MAX_CRASHES
from kingcuphead.storage.tests._memory_part import MemoryTablePart

SETTINGS = QuarantineSettings(min_crashed_targets=3, crash_retention=7_200.0)


class Clock:
    def __init__(self):
        self.now = 1_000.0


def ignore(message):
    """Drop a reply."""


class Daemon:
    """One exchange whose messages are recorded."""

    def __init__(self, clock, table, identity="d1/1"):
        self.sent: list[QuarantineMessage] = []
        self.exchange = QuarantineExchange(
            identity,
            SETTINGS,
            table,
            self.sent.append,
            self.sent.append,
            lambda: clock.now,
        )

    def crash(self, target, fingerprint="f"):
        self.exchange.record_crash(fingerprint, target, running_seconds=0.0)

    def handle(self, message):
        self.exchange.handle_message(message, ignore)

    @property
    def is_quarantined(self):
        return self.exchange.get_remaining("f") > 0


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def table(clock):
    return MemoryTablePart(lambda: clock.now)


@pytest.fixture
def daemon(clock, table):
    return Daemon(clock, table)


class TestMessages:
    def test_each_crash_and_the_quarantine_are_broadcast(self, daemon):
        for number in range(3):
            daemon.crash(f"t{number}")
        crashes = [CrashReported("f", f"t{number}") for number in range(3)]
        quarantined = QuarantineReported((FingerprintQuarantined("f", 3_600.0),))
        assert daemon.sent == [*crashes, quarantined]

    def test_an_answer_to_a_suspect_request_is_told_to_the_others(self, daemon):
        daemon.crash("t1")
        daemon.exchange.record_answer("f")
        assert daemon.sent[1:] == [AnswersReported("f", "d1/1", 1)]

    def test_answers_of_other_daemons_weigh_against_crashes(self, daemon):
        daemon.crash("t1")
        daemon.handle(CrashReported("f", "t2"))
        daemon.handle(AnswersReported("f", "d2/1", 1))
        daemon.handle(AnswersReported("f", "d3/1", 2))
        daemon.crash("t3")
        assert not daemon.is_quarantined
        daemon.crash("t4")
        assert daemon.is_quarantined

    def test_a_daemon_that_spread_a_crash_spreads_answers_too(self, daemon):
        answers = AnswersReported("f", "d2/1", 1)
        daemon.handle(answers)
        assert daemon.sent == []
        daemon.crash("t1")
        answers = AnswersReported("f", "d2/1", 2)
        daemon.handle(answers)
        daemon.handle(answers)
        assert daemon.sent[1:] == [answers]

    def test_reports_end_once_the_answers_decide(self, daemon):
        daemon.crash("t1")
        for _ in range(100):
            daemon.exchange.record_answer("f")
        assert len(daemon.sent) < 10

    def test_the_last_of_three_crashes_counts_wherever_it_happens(self, daemon):
        daemon.crash("t1")
        daemon.handle(CrashReported("f", "t2"))
        daemon.handle(CrashReported("f", "t3"))
        assert daemon.is_quarantined
        assert isinstance(daemon.sent[-1], QuarantineReported)

    def test_a_daemon_without_a_crash_of_its_own_announces_none(self, daemon):
        for number in range(3):
            daemon.handle(CrashReported("f", f"t{number}"))
        assert daemon.is_quarantined
        assert daemon.sent == []

    def test_all_quarantined_fingerprints_are_reported_again(self, daemon):
        for number in range(100):
            entry = FingerprintQuarantined(f"f{number}", 50.0)
            daemon.handle(QuarantineReported((entry,)))
        daemon.exchange.report()
        reported = {
            entry.fingerprint for message in daemon.sent for entry in message.entries
        }
        assert len(reported) == 100


class TestRequestsThatAreAnsweredToo:
    """Guards against refusing a popular request because its targets happen to crash."""

    def test_crashes_that_do_not_outnumber_the_answers_prove_nothing(self, daemon):
        for _ in range(20):
            daemon.exchange.record_answer("f")
        for number in range(20):
            daemon.crash(f"t{number}")
        assert not daemon.is_quarantined

    @pytest.mark.parametrize(("answers", "crashes"), [(0, 3), (1, 3), (2, 3), (5, 6)])
    def test_it_is_quarantined_once_they_do(self, daemon, answers, crashes):
        for _ in range(answers):
            daemon.exchange.record_answer("f")
        for number in range(crashes):
            assert not daemon.is_quarantined
            daemon.crash(f"t{number}")
        assert daemon.is_quarantined

    def test_answers_count_as_long_as_crashes_do(self, clock, daemon):
        for _ in range(3):
            daemon.exchange.record_answer("f")
        clock.now += SETTINGS.crash_retention - 1.0
        for number in range(3):
            daemon.crash(f"t{number}")
        assert not daemon.is_quarantined
        clock.now += 2.0
        daemon.crash("t4")
        assert daemon.is_quarantined

    def test_daemons_that_answered_it_tell_the_others(self, clock, table, daemon):
        other = Daemon(clock, table, "d2/1")
        for _ in range(3):
            other.exchange.record_answer("f")
        for number in range(3):
            daemon.crash(f"t{number}")
            report = daemon.sent.pop()
            other.exchange.handle_message(report, daemon.handle)
        assert not daemon.is_quarantined

    def test_memory_of_answers_is_bounded(self):
        answers = AnswerCounts(retention=60.0, capacity=100)
        for number in range(101):
            answers.record(f"f{number}", 0.0)
        assert not answers.count_own("f0", 0.0)
        assert answers.count_own("f100", 0.0) == 1


class TestTable:
    def synchronise(self, daemon):
        asyncio.run(daemon.exchange.synchronise())

    def test_a_new_daemon_reads_what_is_quarantined(self, clock, table, daemon):
        for number in range(3):
            daemon.crash(f"t{number}")
        self.synchronise(daemon)
        clock.now += 600.0
        other = Daemon(clock, table)
        self.synchronise(other)
        assert other.exchange.get_remaining("f") == pytest.approx(3_000.0, abs=0.01)

    def test_crashes_count_after_the_daemons_that_saw_them_are_gone(self, clock, table):
        for number in range(3):
            daemon = Daemon(clock, table)
            self.synchronise(daemon)
            assert not daemon.is_quarantined
            daemon.crash(f"t{number}")
            self.synchronise(daemon)
            clock.now += 60.0
        assert daemon.is_quarantined

    def test_crashes_that_answers_outweigh_are_not_kept(self, table, daemon):
        daemon.crash("t1")
        daemon.exchange.record_answer("f")
        self.synchronise(daemon)
        assert table.rows == {}

    def test_crashes_are_removed_after_a_while(self, clock, table, daemon):
        daemon.crash("t1")
        self.synchronise(daemon)
        assert list(table.rows) == ["crash/f/t1"]
        clock.now += CRASH_LIFETIME + 1.0
        self.synchronise(Daemon(clock, table))
        assert table.rows == {}

    def test_the_number_of_kept_crashes_is_bounded(self, clock, table, daemon):
        for number in range(3 * MAX_CRASHES):
            clock.now += 0.1
            daemon.crash("t1", fingerprint=f"f{number}")
            if number % 50 == 0:
                self.synchronise(daemon)
        for _ in range(2):
            self.synchronise(daemon)
        self.synchronise(Daemon(clock, table))
        assert len(table.rows) == MAX_CRASHES
        assert f"crash/f{3 * MAX_CRASHES - 1}/t1" in table.rows

    def test_a_write_that_the_store_missed_is_repeated(self, table, daemon):
        for number in range(3):
            daemon.crash(f"t{number}")
        table.is_down = True
        self.synchronise(daemon)
        table.is_down = False
        self.synchronise(daemon)
        assert list(table.rows) == ["f"]

    def test_an_expired_row_is_removed(self, clock, table, daemon):
        for number in range(3):
            daemon.crash(f"t{number}")
        self.synchronise(daemon)
        clock.now += SETTINGS.expiry + 1
        daemon.exchange.report()
        self.synchronise(daemon)
        assert table.rows == {}
        assert not daemon.is_quarantined

    def test_the_next_crash_after_the_end_renews_the_quarantine(self, clock, daemon):
        for number in range(3):
            daemon.crash(f"t{number}")
        clock.now += SETTINGS.expiry + 1
        daemon.exchange.report()
        daemon.crash("t4")
        assert daemon.is_quarantined

    @pytest.mark.parametrize("value", [b"", b"{}", b'{"expires_ms":"x"}', b"\xff"])
    @pytest.mark.parametrize("key", ["f", "crash/f", "crash/f/t1"])
    def test_a_malformed_row_is_left_out(self, table, daemon, key, value):
        table.rows[key] = value
        self.synchronise(daemon)
        assert not daemon.is_quarantined


@dataclasses.dataclass(frozen=True)
class Arrival:
    """The crashing request reached a target."""

    time: float
    #: Whether its daemon had neither restarted nor been cut off lately.
    is_in_touch: bool


class RandomFleet:
    """Daemons that exchange datagrams, are killed and are cut off, by one seed.

    Each daemon is asked to serve the crashing request again and again.
    """

    SIZE = 6
    #: Seconds between two steps.
    STEP = 0.05
    #: Seconds without a disturbance after which a daemon is in touch.
    STABLE_WINDOW = 3.0

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.table = MemoryTablePart(lambda: self.clock.now)
        self.daemons = [Daemon(self.clock, self.table) for _ in range(self.SIZE)]
        self.disturbed_at = [float("-inf")] * self.SIZE
        self.cut_until = [0.0] * self.SIZE
        self.store_down_until = 0.0
        self.in_flight = []
        self.arrivals = []

    async def run(self, steps):
        for number in range(steps):
            self.clock.now += self.STEP
            self._disturb()
            self._deliver()
            self._send_crashing_request()
            for index, daemon in enumerate(self.daemons):
                if (number + index) % 20 == 0:
                    daemon.exchange.report()
                if (number + 7 * index) % 100 == 0 or daemon.exchange.is_unsaved:
                    await daemon.exchange.synchronise()

    def _disturb(self):
        now, rng = self.clock.now, self.rng
        if rng.random() < 0.002:
            self.store_down_until = now + rng.uniform(1.0, 6.0)
        self.table.is_down = now < self.store_down_until
        if rng.random() < 0.004:
            for index in rng.sample(range(self.SIZE), rng.choice((1, 2, self.SIZE))):
                self.daemons[index] = Daemon(self.clock, self.table)
                self.disturbed_at[index] = now
        if rng.random() < 0.01:
            self.cut_until[rng.randrange(self.SIZE)] = now + rng.uniform(0.5, 5.0)
        for index, until in enumerate(self.cut_until):
            if now < until:
                self.disturbed_at[index] = now

    def _deliver(self):
        now, rng = self.clock.now, self.rng
        for sender, daemon in enumerate(self.daemons):
            for message in daemon.sent:
                for receiver in range(self.SIZE):
                    if receiver != sender and rng.random() > 0.1:
                        due = now + rng.uniform(0.0, 0.2)
                        self.in_flight.append((due, sender, receiver, message))
            daemon.sent.clear()
        arrived = [each for each in self.in_flight if each[0] <= now]
        self.in_flight = [each for each in self.in_flight if each[0] > now]
        for _, sender, receiver, message in arrived:
            if max(self.cut_until[sender], self.cut_until[receiver]) <= now:
                self.daemons[receiver].handle(message)

    def _send_crashing_request(self):
        now = self.clock.now
        index = self.rng.randrange(self.SIZE)
        daemon = self.daemons[index]
        if self.rng.random() < 0.03 and not daemon.is_quarantined:
            is_in_touch = now - self.disturbed_at[index] > self.STABLE_WINDOW
            self.arrivals.append(Arrival(now, is_in_touch))
            daemon.crash(f"t{len(self.arrivals)}")


class TestRandomRuns:
    @pytest.mark.parametrize("seed", range(40))
    def test_a_request_that_crashed_three_targets_reaches_three_more_at_most(
        self, seed
    ):
        fleet = RandomFleet(seed)
        asyncio.run(fleet.run(steps=3_000))
        assert len(fleet.arrivals) >= 3
        known_at = fleet.arrivals[2].time + fleet.STABLE_WINDOW
        late = [
            arrival
            for arrival in fleet.arrivals[3:]
            if arrival.is_in_touch and arrival.time > known_at
        ]
        assert len(late) <= 3
