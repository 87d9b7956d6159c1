import pytest

from kingcuphead.entry._task_outage import (
    FIRST_DELAY,
    MAX_DELAY,
    MAX_OUTAGE,
    STABLE_PERIOD,
    GiveUp,
    Restart,
    TaskOutage,
)


def play(run_seconds, limit=1_000):
    """Return the delays of a task whose runs all last the same, and when it ended."""
    outage = TaskOutage()
    now = 100.0
    delays: list[float] = []
    while len(delays) < limit:
        started_at, now = now, now + run_seconds
        match outage.record_failure(started_at, now):
            case Restart(delay):
                delays.append(delay)
                now += delay
            case GiveUp():
                return delays, now - 100.0
    return delays, None


class TestTaskOutage:
    @pytest.mark.parametrize("run_seconds", [0.0, 0.01, 0.3, 0.9])
    def test_a_task_that_keeps_failing_is_given_up_in_time(self, run_seconds):
        """Guards against a daemon that seems to live without one of its tasks."""
        delays, ended_at = play(run_seconds)
        assert delays[0] == FIRST_DELAY
        assert max(delays) <= MAX_DELAY
        assert ended_at is not None
        assert MAX_OUTAGE <= ended_at <= MAX_OUTAGE + MAX_DELAY + 2 * run_seconds

    def test_a_task_that_fails_now_and_then_is_restarted(self):
        """Guards against a fault in single messages that ends daemons."""
        delays, ended_at = play(1.01 * STABLE_PERIOD)
        assert set(delays) == {FIRST_DELAY}
        assert ended_at is None
