import pytest

from kingcuphead.placement import (
    AnswerResult,
    PlacementSettings,
    StateSource,
    TargetState,
)
from kingcuphead.placement._liveness import Liveness

SETTINGS = PlacementSettings()
LEAVING = TargetState.LEAVING


def probe_healthy(liveness, *times):
    for time in times:
        liveness = liveness.with_probe_sent(time).with_probe(True, time, SETTINGS)
    return liveness


def measure_detection(liveness, state):
    """Return the seconds until an unresponsive target is in `state`."""
    now = 0.0
    while liveness.state is not state and now < 10:
        now += 0.25
        liveness = liveness.with_timeout(now, SETTINGS)
        if liveness.is_probe_due(now, SETTINGS.max_answer_age, SETTINGS):
            liveness = liveness.with_probe_sent(now)
    return now


class TestLiveness:
    @pytest.mark.parametrize("source", list(StateSource))
    def test_one_report_of_leaving_from_any_source_suffices(self, source):
        assert Liveness().with_report(LEAVING, source, 1.0).state is LEAVING

    def test_lagging_list_does_not_undo_a_report_of_leaving(self):
        left = Liveness().with_report(LEAVING, StateSource.ANSWER, 1.0)
        listed = left.with_report(TargetState.LIVE, StateSource.LIST, 2.0)
        assert probe_healthy(listed, 2.0, 3.0, 4.0).state is LEAVING

    def test_probes_make_it_live_once_the_report_is_old(self):
        left = Liveness().with_report(LEAVING, StateSource.PEER, 1.0)
        assert probe_healthy(left, 32.0, 33.0).state is LEAVING
        assert probe_healthy(left, 32.0, 33.0, 34.0).state is TargetState.LIVE

    def test_stays_leaving_while_the_list_reports_leaving(self):
        left = Liveness().with_report(LEAVING, StateSource.LIST, 1.0)
        assert probe_healthy(left, 32.0, 33.0, 34.0).state is LEAVING

    def test_end_of_draining_does_not_undo_the_report_of_a_peer(self):
        left = Liveness().with_report(LEAVING, StateSource.PEER, 1.0)
        drained = left.with_report(LEAVING, StateSource.CONFIGURATION, 2.0)
        undrained = drained.with_report(
            TargetState.LIVE, StateSource.CONFIGURATION, 3.0
        )
        assert undrained.state is LEAVING

    @pytest.mark.parametrize(
        ("result", "state"),
        [
            (AnswerResult.WHOLE, TargetState.LIVE),
            (AnswerResult.CANCELLED, TargetState.LIVE),
            (AnswerResult.REFUSED, TargetState.CHECKING),
            (AnswerResult.UNREACHABLE, TargetState.CHECKING),
            (AnswerResult.DIED, TargetState.CHECKING),
            (AnswerResult.TIMED_OUT, TargetState.CHECKING),
        ],
    )
    def test_failed_answer_stops_new_work(self, result, state):
        assert Liveness().with_answer(result, 1.0, SETTINGS).state is state

    def test_becomes_unresponsive_and_recovers_with_hysteresis(self):
        checked = Liveness().with_answer(AnswerResult.DIED, 1.0, SETTINGS)
        failed = checked.with_probe_sent(1.0).with_probe(False, 1.1, SETTINGS)
        assert failed.state is TargetState.CHECKING
        unresponsive = failed.with_probe_sent(1.6).with_probe(False, 1.7, SETTINGS)
        assert unresponsive.state is TargetState.SILENT
        assert probe_healthy(unresponsive, 3.0, 4.0).state is TargetState.SILENT
        assert probe_healthy(unresponsive, 3.0, 4.0, 5.0).state is TargetState.LIVE

    @pytest.mark.parametrize(
        ("state", "seconds"), [(TargetState.CHECKING, 1.5), (TargetState.SILENT, 2.25)]
    )
    def test_unresponsive_target_is_detected_in_time_to_notify_peers(
        self, state, seconds
    ):
        assert measure_detection(Liveness(answered_at=0.0), state) <= seconds

    def test_probe_sent_before_a_failure_is_ignored(self):
        probed = Liveness().with_probe_sent(1.0)
        checked = probed.with_answer(AnswerResult.DIED, 1.1, SETTINGS)
        assert checked.with_probe(True, 1.15, SETTINGS).state is TargetState.CHECKING
        assert checked.is_probe_due(1.15, 1.0, SETTINGS)

    def test_unresponsiveness_reported_by_a_peer_is_checked(self):
        reported = Liveness().with_report(TargetState.SILENT, StateSource.PEER, 1.0)
        assert reported.state is TargetState.CHECKING
