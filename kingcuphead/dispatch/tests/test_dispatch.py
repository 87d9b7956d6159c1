import dataclasses
import random

import pytest

from kingcuphead.dispatch import (
    AttemptResult,
    Dispatcher,
    DispatchSettings,
    PlacementRequest,
    RetryAllowance,
    SharedPrefix,
)
from kingcuphead.dispatch._health import MIN_BACKOFF_SECONDS
from kingcuphead.loads import LoadsReported, PeerLoads, TargetLoad
from kingcuphead.targets import Availability, Target

TARGETS = tuple(
    Target(f"t{number}", "pool", f"10.0.0.{number}:80", "z", 8, Availability.READY, 1)
    for number in range(4)
)


def make_dispatcher(peer_loads=None, **settings):
    return Dispatcher(
        DispatchSettings("z", **settings), peer_loads or PeerLoads(), random.Random(1)
    )


def make_request(session="s", shared=5_000, own=1_000):
    return PlacementRequest(
        "pool", (SharedPrefix(f"/{session}", shared),), shared + own
    )


class TestAffinity:
    def test_all_daemons_choose_the_same_target_for_a_shared_prefix(self):
        choices = {
            make_dispatcher().place(make_request(), TARGETS, (), 0.0).target.name
            for _ in range(5)
        }
        assert len(choices) == 1

    def test_sessions_spread_over_the_targets(self):
        dispatcher = make_dispatcher()
        names = set()
        for number in range(60):
            placement = dispatcher.place(make_request(f"s{number}"), TARGETS, (), 0.0)
            names.add(placement.target.name)
            dispatcher.record_answer_start(placement, 0.1)
            dispatcher.record_result(placement, AttemptResult.ANSWERED, 0.2)
        assert len(names) == len(TARGETS)

    def test_a_burst_in_one_session_overflows_before_its_wait_exceeds_the_objective(
        self,
    ):
        """A burst of 20 prompts of 12,000 tokens arrives in one session."""
        dispatcher = make_dispatcher()
        placements = [
            dispatcher.place(make_request(own=7_000), TARGETS, (), 0.0)
            for _ in range(20)
        ]
        preferred = [each for each in placements if each.is_preferred]
        assert 1 < len(preferred) < 20
        assert max(each.expected_wait for each in placements) < 1.2


class TestColdTargets:
    """Guards against urgent requests that wait for a cold target to warm up."""

    COLD = TARGETS[:3]

    def place(self, dispatcher, is_urgent, targets=TARGETS):
        request = PlacementRequest("pool", is_urgent=is_urgent)
        return dispatcher.place(request, targets, (), 0.0)

    @pytest.fixture
    def dispatcher(self):
        dispatcher = make_dispatcher()
        dispatcher.cold_costs.is_cold = lambda target: target in self.COLD
        return dispatcher

    def test_an_urgent_request_prefers_a_warm_target(self, dispatcher):
        for _ in range(10):
            placement = self.place(dispatcher, is_urgent=True)
            assert placement.target == TARGETS[3]
            dispatcher.record_result(placement, AttemptResult.ANSWERED, 0.1)

    def test_an_urgent_request_uses_a_cold_target_if_there_is_no_other(
        self, dispatcher
    ):
        assert self.place(dispatcher, True, self.COLD).target in self.COLD

    def test_other_requests_warm_cold_targets_evenly(self, dispatcher):
        names = []
        for _ in range(30):
            placement = self.place(dispatcher, False, self.COLD)
            names.append(placement.target.name)
            dispatcher.record_result(placement, AttemptResult.ANSWERED, 0.1)
        assert [names.count(each.name) for each in self.COLD] == [10, 10, 10]

    def test_a_request_that_got_no_permit_warms_nothing(self, dispatcher):
        counts = dispatcher.cold_costs._placed
        dispatcher.withdraw(self.place(dispatcher, False, self.COLD))
        assert set(counts.values()) == {0}


class TestCopying:
    """KV cache copies when the preferred target of a session is busy."""

    def place_until_not_preferred(self, dispatcher):
        while True:
            placement = dispatcher.place(make_request(own=7_000), TARGETS, (), 0.0)
            if not placement.is_preferred:
                return placement

    def test_nothing_is_copied_from_a_target_of_another_version(self):
        """What two software versions write does not fit together."""
        first = make_dispatcher().place(make_request(), TARGETS, (), 0.0).target
        targets = tuple(
            dataclasses.replace(each, software_version="v1" if each == first else "v2")
            for each in TARGETS
        )
        dispatcher = make_dispatcher()
        placements = [
            dispatcher.place(make_request(own=7_000), targets, (), 0.0)
            for _ in range(20)
        ]
        moved = [each for each in placements if not each.is_preferred]
        assert moved
        for placement in moved:
            source = placement.prefill.source
            version = placement.target.software_version
            assert source is None or source.software_version == version
        assert moved[0].prefill.prefill_tokens == 12_000

    def test_another_target_copies_the_shared_prefix_from_the_preferred_one(self):
        dispatcher = make_dispatcher()
        preferred = dispatcher.place(make_request(own=7_000), TARGETS, (), 0.0).target
        placement = self.place_until_not_preferred(dispatcher)
        assert placement.prefill.source == preferred
        assert placement.prefill.copied_tokens == 5_000

    def test_the_preferred_target_processes_a_prefix_that_no_target_has(self):
        placement = make_dispatcher().place(make_request(), TARGETS, (), 0.0)
        assert placement.is_preferred
        assert placement.prefill.source is None

    def test_a_restarted_preferred_target_copies_from_a_target_with_the_prefix(self):
        dispatcher = make_dispatcher()
        preferred = dispatcher.place(make_request(), TARGETS, (), 0.0)
        dispatcher.record_result(preferred, AttemptResult.ANSWERED, 0.1)
        others = [each for each in TARGETS if each != preferred.target]
        other = dispatcher.place(make_request(), others, (), 0.2)
        dispatcher.record_result(other, AttemptResult.ANSWERED, 0.3)
        restarted = dataclasses.replace(preferred.target, started_at_ms=2)
        placement = dispatcher.place(make_request(), [restarted, *others], (), 0.4)
        assert placement.target == restarted
        assert placement.prefill.source == other.target

    def test_a_target_that_is_backing_off_is_no_source(self):
        dispatcher = make_dispatcher()
        preferred = dispatcher.place(make_request(own=7_000), TARGETS, (), 0.0)
        for _ in range(6):
            dispatcher.record_result(preferred, AttemptResult.UNREACHABLE, 0.1)
        placement = dispatcher.place(make_request(own=7_000), TARGETS, (), 0.1)
        assert preferred.target not in (placement.target, placement.prefill.source)

    def test_short_prefixes_are_not_copied(self):
        dispatcher = make_dispatcher()
        request = make_request(shared=200, own=12_000)
        placements = [dispatcher.place(request, TARGETS, (), 0.0) for _ in range(12)]
        assert not any(each.prefill.source for each in placements)


class TestLoadOfOthers:
    def test_a_target_loaded_by_other_daemons_is_avoided(self):
        peer_loads = PeerLoads()
        preferred = (
            make_dispatcher().place(make_request(), TARGETS, (), 0.0).target.name
        )
        load = TargetLoad(preferred, 6, 120_000)
        peer_loads.apply_report(LoadsReported("d2", 1, (load,)), 0.0)
        chosen = make_dispatcher(peer_loads).place(make_request(), TARGETS, (), 0.0)
        assert chosen.target.name != preferred

    def test_the_reported_load_follows_the_attempt(self):
        dispatcher = make_dispatcher()
        placement = dispatcher.place(make_request(), TARGETS, (), 0.0)
        name = placement.target.name
        assert list(dispatcher.list_loads()) == [TargetLoad(name, 1, 1_000)]
        dispatcher.record_answer_start(placement, 0.1)
        assert list(dispatcher.list_loads()) == [TargetLoad(name, 1, 0)]
        dispatcher.record_result(placement, AttemptResult.ANSWERED, 0.2)
        assert not list(dispatcher.list_loads())


class TestAnnouncing:
    @pytest.mark.parametrize("own, announcements", [(1_000, 0), (30_000, 1)])
    def test_large_prompts_are_announced(self, own, announcements):
        dispatcher = make_dispatcher()
        calls = []
        dispatcher.announce = lambda: calls.append(1)
        dispatcher.place(make_request(own=own), TARGETS, (), 0.0)
        assert len(calls) == announcements


class TestHealth:
    def test_one_silence_that_many_requests_meet_counts_once(self):
        dispatcher = make_dispatcher()
        placements = [
            dispatcher.place(make_request(), TARGETS[:1], (), 0.0) for _ in range(6)
        ]
        for placement in placements:
            dispatcher.record_result(placement, AttemptResult.SILENT, 1.0)
        other = dispatcher.place(make_request(), TARGETS[:2], (), 1.1)
        assert other.target != TARGETS[0]
        health = placements[0].state.health
        assert health.is_backing_off(1.1)
        assert not health.is_backing_off(1.0 + 2 * MIN_BACKOFF_SECONDS)

    @pytest.mark.parametrize(
        "result", [AttemptResult.UNREACHABLE, AttemptResult.SILENT]
    )
    def test_an_unresponsive_target_is_avoided_until_its_backoff_ends(self, result):
        dispatcher = make_dispatcher()
        first = dispatcher.place(make_request(), TARGETS, (), 0.0)
        dispatcher.record_result(first, result, 0.4)
        second = dispatcher.place(make_request(), TARGETS, (), 0.5)
        assert second.target != first.target
        later = dispatcher.place(make_request(), TARGETS, (), 60.0)
        assert later.target == first.target

    def test_a_target_that_fails_requests_gets_fewer_of_them(self):
        dispatcher = make_dispatcher()
        request = PlacementRequest("desk")
        failing = TARGETS[0].name
        for _ in range(8):
            placement = dispatcher.place(request, TARGETS[:1], (), 0.0)
            dispatcher.record_result(placement, AttemptResult.FAILED, 0.0)
        chosen = []
        for _ in range(40):
            placement = dispatcher.place(request, TARGETS, (), 0.1)
            dispatcher.record_result(placement, AttemptResult.ANSWERED, 0.1)
            chosen.append(placement.target.name)
        assert chosen.count(failing) <= 2

    def test_a_cancelled_attempt_does_not_change_the_failure_rate(self):
        dispatcher = make_dispatcher()
        placement = dispatcher.place(make_request(), TARGETS, (), 0.0)
        dispatcher.record_result(placement, AttemptResult.CANCELLED, 0.1)
        assert placement.state.health.get_failure_rate(0.1) == 0

    def test_excluded_targets_are_never_chosen(self):
        names = [target.name for target in TARGETS]
        dispatcher = make_dispatcher()
        assert dispatcher.place(make_request(), TARGETS, names, 0.0) is None


class TestRetryAllowance:
    @pytest.mark.parametrize("daemons", [1, 7, 12, 62, 90, 195, 330])
    def test_retries_of_a_fleet_stay_within_ratio_and_burst(self, daemons):
        """Each daemon retries as much as it may, in the same window."""
        granted = 0
        for _ in range(daemons):
            allowance = RetryAllowance(ratio=0.2, burst=430, window=10.0)
            allowance.apply_fleet_size(daemons)
            for _ in range(50):
                allowance.count_request("pool", 0.0)
            granted += sum(allowance.try_spend("pool", 1.0) for _ in range(600))
        assert granted <= 0.2 * 50 * daemons + 430
        assert granted >= 0.2 * 50 * daemons

    def test_retries_stay_within_ratio_and_burst(self):
        allowance = RetryAllowance(ratio=0.2, burst=36, window=10.0)
        for _ in range(50):
            allowance.count_request("pool", 0.0)
        granted = sum(allowance.try_spend("pool", 1.0) for _ in range(100))
        assert granted == 13

    def test_retries_outside_the_window_are_not_counted(self):
        allowance = RetryAllowance(ratio=0.0, burst=24, window=10.0)
        assert [allowance.try_spend("pool", now) for now in (0, 1, 2)] == [1, 1, 0]
        assert allowance.try_spend("pool", 10.5)
        assert not allowance.try_spend("pool", 10.6)

    def test_services_have_separate_allowances(self):
        allowance = RetryAllowance(ratio=0.0, burst=12, window=10.0)
        assert allowance.try_spend("pool", 0.0)
        assert allowance.try_spend("desk", 0.0)
