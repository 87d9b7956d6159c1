import asyncio

import pytest

from kingcuphead.quarantine import (
    AnswersReported,
    CrashReported,
    FingerprintQuarantined,
    QuarantineReported,
    RequestIdentity,
)
from kingcuphead.quarantine._answers import AnswerCounts
from kingcuphead.quarantine._rows import encode_quarantine
from kingcuphead.quarantine._table import CRASH_LIFETIME, MAX_CRASHES
from kingcuphead.quarantine.tests._daemon import REQUEST, SETTINGS, Clock, Daemon
from kingcuphead.storage.tests._memory_part import MemoryTablePart


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
        crashes = [CrashReported(f"t{number}", REQUEST) for number in range(3)]
        quarantined = QuarantineReported((FingerprintQuarantined("f", 3_600.0),))
        assert daemon.sent == [*crashes, quarantined]

    def test_an_answer_to_a_suspect_request_is_told_to_the_others(self, daemon):
        daemon.crash("t1")
        daemon.exchange.record_answer(REQUEST)
        assert daemon.sent[1:] == [AnswersReported("f", "d1/1", 1)]

    def test_answers_of_other_daemons_weigh_against_crashes(self, daemon):
        daemon.crash("t1")
        daemon.handle(CrashReported("t2", REQUEST))
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
            daemon.exchange.record_answer(REQUEST)
        assert len(daemon.sent) < 10

    def test_the_last_of_three_crashes_counts_wherever_it_happens(self, daemon):
        daemon.crash("t1")
        daemon.handle(CrashReported("t2", REQUEST))
        daemon.handle(CrashReported("t3", REQUEST))
        assert daemon.is_quarantined
        assert isinstance(daemon.sent[-1], QuarantineReported)

    def test_a_daemon_without_a_crash_of_its_own_announces_none(self, daemon):
        for number in range(3):
            daemon.handle(CrashReported(f"t{number}", REQUEST))
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
            daemon.exchange.record_answer(REQUEST)
        for number in range(20):
            daemon.crash(f"t{number}")
        assert not daemon.is_quarantined

    @pytest.mark.parametrize(("answers", "crashes"), [(0, 3), (1, 3), (2, 3), (5, 6)])
    def test_it_is_quarantined_once_they_do(self, daemon, answers, crashes):
        for _ in range(answers):
            daemon.exchange.record_answer(REQUEST)
        for number in range(crashes):
            assert not daemon.is_quarantined
            daemon.crash(f"t{number}")
        assert daemon.is_quarantined

    def test_answers_count_as_long_as_crashes_do(self, clock, daemon):
        for _ in range(3):
            daemon.exchange.record_answer(REQUEST)
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
            other.exchange.record_answer(REQUEST)
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
        assert other.exchange.get_remaining(REQUEST) == pytest.approx(3_000.0, abs=0.01)

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
        daemon.exchange.record_answer(REQUEST)
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


class TestWithdrawnSuspicions:
    """Guards against a quarantine that is back after the daemons that lifted it ended.

    Rows outlast the daemons that know of the answers, so answers withdraw them.
    """

    PARTS = ("part:p", "part:q")

    def synchronise(self, *daemons):
        for daemon in daemons:
            asyncio.run(daemon.exchange.synchronise())

    def lose(self, daemon, count=4, parts=PARTS):
        """Lose requests that share parts with targets, which accuses the parts."""
        for number in range(count):
            daemon.crash(f"t{number}", f"f{number}", parts)
        daemon.exchange.judge_parts()

    def is_refused(self, daemon, *parts):
        return daemon.exchange.get_remaining(RequestIdentity("new", parts)) > 0

    def restart(self, clock, table):
        """Return a daemon that knows the rows alone and has judged them."""
        daemon = Daemon(clock, table, "d9/2")
        self.synchronise(daemon)
        daemon.exchange.judge_parts()
        return daemon

    @pytest.mark.parametrize("is_saved", [True, False])
    def test_a_part_that_was_answered_is_served_after_a_restart_of_all(
        self, clock, table, daemon, is_saved
    ):
        self.lose(daemon)
        if is_saved:
            self.synchronise(daemon)
        daemon.exchange.record_answer(RequestIdentity("g", self.PARTS))
        assert daemon.exchange.is_unsaved
        self.synchronise(daemon)
        assert not self.is_refused(self.restart(clock, table), *self.PARTS)

    def test_what_was_not_answered_stays_quarantined(self, clock, table, daemon):
        self.lose(daemon)
        self.synchronise(daemon)
        daemon.exchange.record_answer(RequestIdentity("g", ("part:p",)))
        self.synchronise(daemon)
        for each in (daemon, self.restart(clock, table)):
            assert self.is_refused(each, "part:q")
            assert not self.is_refused(each, "part:p")

    def test_quarantines_that_are_narrowed_to_the_same_part_become_one(
        self, table, daemon
    ):
        for other in ("part:p", "part:r"):
            entry = FingerprintQuarantined(f"{other}+part:s", 60.0)
            value = encode_quarantine(entry.remaining, 1_000_000)
            table.rows[entry.fingerprint] = value
        daemon.handle(AnswersReported("part:p", "d3/1", 1))
        daemon.handle(AnswersReported("part:r", "d3/1", 1))
        self.synchronise(daemon)
        assert list(table.rows) == ["part:s"]

    def test_crashes_before_a_verdict_are_withdrawn_too(self, clock, table, daemon):
        self.lose(daemon, count=3)
        self.synchronise(daemon)
        daemon.exchange.record_answer(RequestIdentity("g", self.PARTS))
        self.synchronise(daemon)
        restarted = self.restart(clock, table)
        restarted.crash("t9", "f9", self.PARTS)
        restarted.exchange.judge_parts()
        assert not self.is_refused(restarted, *self.PARTS)

    def test_any_daemon_that_knows_of_the_answer_withdraws_them(
        self, clock, table, daemon
    ):
        """The daemons that saw the crashes and the answer may have ended."""
        self.lose(daemon)
        self.synchronise(daemon)
        other = Daemon(clock, table, "d2/1")
        other.handle(AnswersReported("part:p", "d3/1", 1))
        other.handle(AnswersReported("part:q", "d3/1", 1))
        self.synchronise(other)
        assert not self.is_refused(self.restart(clock, table), *self.PARTS)

    def test_daemons_that_know_of_different_answers_withdraw_both(
        self, clock, table, daemon
    ):
        self.lose(daemon)
        self.synchronise(daemon)
        others = [Daemon(clock, table, f"d{number}/1") for number in (2, 3)]
        for other, part in zip(others, self.PARTS, strict=True):
            other.handle(AnswersReported(part, "d4/1", 1))
        self.synchronise(*others, *others)
        assert not any("part:" in key for key in table.rows)
        assert not any(b"part:" in value for value in table.rows.values())

    def test_crashes_of_a_request_that_answers_outweigh_are_withdrawn(
        self, clock, table, daemon
    ):
        for number in range(2):
            daemon.crash(f"t{number}")
        self.synchronise(daemon)
        for _ in range(2):
            daemon.exchange.record_answer(REQUEST)
        self.synchronise(daemon)
        restarted = self.restart(clock, table)
        restarted.crash("t9")
        assert not restarted.is_quarantined

    def test_crashes_that_outnumber_the_answers_stay(self, clock, table, daemon):
        for number in range(2):
            daemon.crash(f"t{number}")
        self.synchronise(daemon)
        daemon.exchange.record_answer(REQUEST)
        self.synchronise(daemon)
        restarted = self.restart(clock, table)
        restarted.crash("t9")
        assert restarted.is_quarantined

    def test_more_rows_than_fit_into_one_transaction_are_withdrawn(
        self, clock, table, daemon
    ):
        for number in range(MAX_CRASHES):
            daemon.crash("t1", f"f{number}", self.PARTS)
        for _ in range(2):
            self.synchronise(daemon)
        assert len(table.rows) == MAX_CRASHES
        daemon.exchange.record_answer(RequestIdentity("g", self.PARTS))
        self.synchronise(daemon)
        assert not any(b"part:" in value for value in table.rows.values())
        clock.now += CRASH_LIFETIME + 1.0
        self.synchronise(Daemon(clock, table))
        assert table.rows == {}
