import random

import pytest

from kingcuphead.invariants import InvariantError
from kingcuphead.placement import (
    AnswerResult,
    Placement,
    PlacementQuery,
    PlacementSettings,
    StateSource,
    TargetState,
)
from kingcuphead.placement._limit import AdaptiveLimit
from kingcuphead.placement._load import TargetLoad
from kingcuphead.records import Configuration, Target

SETTINGS = PlacementSettings(zone="a")


def build_placement(zones=("a", "b", "b"), concurrency=4, daemons=1):
    placement = Placement(SETTINGS, random.Random(1))
    targets = {
        f"t{number}": Target(
            f"t{number}", "pool", "127.0.0.1:1", zone, ("m",), concurrency
        )
        for number, zone in enumerate(zones)
    }
    placement.set_daemon_count(daemons)
    placement.apply_configuration(Configuration(revision=1, targets=targets), 0.0)
    return placement


def build_query(**changes):
    return PlacementQuery(**{"service": "pool", "model": "m", "size": 100, **changes})


def choose_name(placement, query, now=0.0):
    target = placement.choose(query, now)
    return target.name if target else None


class TestPlacement:
    def test_prefers_its_zone_among_equals(self):
        assert choose_name(build_placement(), build_query()) == "t0"

    @pytest.mark.parametrize(
        "query", [{"service": "other"}, {"model": "other"}, {"excluded": ("t0",)}]
    )
    def test_ineligible_targets_are_not_chosen(self, query):
        assert choose_name(build_placement(zones=("a",)), build_query(**query)) is None

    def test_every_daemon_chooses_the_same_target_for_a_key(self):
        query = build_query(affinity_key=b"key")
        chosen = {
            choose_name(build_placement(zones=zones), query)
            for zones in (("a", "b", "b"), ("b", "a", "b"), ("b", "b", "a"))
        }
        assert len(chosen) == 1

    def test_preferred_target_with_pending_prefill_is_bypassed(self):
        placement = build_placement()
        query = build_query(affinity_key=b"key")
        preferred = choose_name(placement, query)
        placement.start_attempt("r1", preferred, query, 0.0)
        assert choose_name(placement, query) != preferred

    def test_preferred_target_with_more_running_requests_is_bypassed(self):
        placement = build_placement()
        query = build_query(affinity_key=b"key")
        preferred = choose_name(placement, query)
        for number in range(2):
            placement.start_attempt(f"r{number}", preferred, query, 0.0)
            placement.record_first_token(f"r{number}", 0.1)
        assert choose_name(placement, query) != preferred

    def test_top_class_has_a_separate_limit(self):
        placement = build_placement(zones=("a",), concurrency=4, daemons=4)
        top = build_query(is_top_class=True)
        placement.start_attempt("r1", "t0", build_query(), 0.0)
        for number in (2, 3):
            assert choose_name(placement, top) == "t0"
            placement.start_attempt(f"r{number}", "t0", top, 0.0)
        assert choose_name(placement, top) is None

    def test_slots_are_shared_with_the_other_daemons(self):
        placement = build_placement(concurrency=4, daemons=4)
        assert placement.count_slots("pool", "m") == 3

    def test_reported_load_of_others_limits_to_the_fair_share(self):
        placement = build_placement(zones=("a",), concurrency=4, daemons=4)
        placement.start_attempt("r1", "t0", build_query(), 0.0)
        placement.report_load("t0", 5, 0, 1.0, 1.0)
        assert choose_name(placement, build_query(), 1.0) is None

    def test_suspects_run_on_different_targets(self):
        placement = build_placement(zones=("a",))
        suspect = build_query(is_suspect=True)
        placement.start_attempt("r1", "t0", suspect, 0.0)
        assert choose_name(placement, suspect) is None
        assert choose_name(placement, build_query()) == "t0"

    def test_starting_an_attempt_on_a_leaving_target_is_an_error(self):
        placement = build_placement()
        placement.report_state("t0", TargetState.LEAVING, StateSource.PEER, 0.0)
        with pytest.raises(InvariantError):
            placement.start_attempt("r1", "t0", build_query(), 0.0)

    def test_finishing_an_attempt_on_another_target_is_an_error(self):
        placement = build_placement()
        placement.start_attempt("r1", "t0", build_query(), 0.0)
        with pytest.raises(InvariantError):
            placement.finish_attempt("r1", "t1", AnswerResult.WHOLE, 1.0)


class TestAdaptiveLimit:
    def test_decreases_by_the_overload_once_per_cooldown(self):
        limit = AdaptiveLimit(8.0, 2.0, 12.0)
        lowered = limit.with_overload(1.05, 10.0, SETTINGS)
        assert lowered.value == pytest.approx(8.0 / 1.05)
        assert lowered.with_overload(1.05, 11.0, SETTINGS) == lowered

    def test_increases_only_if_it_is_used(self):
        limit = AdaptiveLimit(4.0, 2.0, 12.0)
        assert limit.with_first_token(0.1, 100, 1, 0.0, SETTINGS).value == 4.0
        assert limit.with_first_token(0.1, 100, 4, 0.0, SETTINGS).value == 4.25


class TestTargetLoad:
    def test_report_yields_the_requests_of_others_at_its_time(self):
        load = TargetLoad().with_own(2, 1.0).with_own(5, 3.0)
        reported = load.with_report(running=6, waiting=1, observed_at=2.0)
        assert reported.others == 5
        assert reported.estimate_others(5.0, decay=3.0) < 5
        assert reported.with_report(0, 0, 1.5) == reported
