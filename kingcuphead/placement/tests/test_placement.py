import random

import pytest

from kingcuphead.invariants import InvariantError
from kingcuphead.placement import (
    AnswerResult,
    Placement,
    PlacementQuery,
    PlacementSettings,
    SignSource,
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
    placement.count_peers(daemons)
    placement.apply(Configuration(revision=1, targets=targets), 0.0)
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
    def test_offers_only_targets_that_may_run_it(self, query):
        assert choose_name(build_placement(zones=("a",)), build_query(**query)) is None

    def test_same_key_goes_to_the_same_target_from_every_daemon(self):
        query = build_query(affinity_key=b"key")
        chosen = {
            choose_name(build_placement(zones=zones), query)
            for zones in (("a", "b", "b"), ("b", "a", "b"), ("b", "b", "a"))
        }
        assert len(chosen) == 1

    def test_key_gives_way_when_its_target_is_crowded(self):
        placement = build_placement()
        query = build_query(affinity_key=b"key")
        home = choose_name(placement, query)
        placement.begin("r1", home, query, 0.0)
        assert choose_name(placement, query) != home

    def test_key_gives_way_when_its_target_runs_more_than_the_others(self):
        placement = build_placement()
        query = build_query(affinity_key=b"key")
        home = choose_name(placement, query)
        for number in range(2):
            placement.begin(f"r{number}", home, query, 0.0)
            placement.start(f"r{number}", 0.1)
        assert choose_name(placement, query) != home

    def test_first_class_is_bounded_apart_from_the_others(self):
        placement = build_placement(zones=("a",), concurrency=4, daemons=4)
        first = build_query(is_first=True)
        placement.begin("r1", "t0", build_query(), 0.0)
        for number in (2, 3):
            assert choose_name(placement, first) == "t0"
            placement.begin(f"r{number}", "t0", first, 0.0)
        assert choose_name(placement, first) is None

    def test_shares_its_targets_with_the_other_daemons(self):
        placement = build_placement(concurrency=4, daemons=4)
        assert placement.count_slots("pool", "m") == 3

    def test_reports_of_others_stop_more_than_a_fair_share(self):
        placement = build_placement(zones=("a",), concurrency=4, daemons=4)
        placement.begin("r1", "t0", build_query(), 0.0)
        placement.report_load("t0", 5, 0, 1.0, 1.0)
        assert choose_name(placement, build_query(), 1.0) is None

    def test_suspects_run_on_different_targets(self):
        placement = build_placement(zones=("a",))
        suspect = build_query(is_suspect=True)
        placement.begin("r1", "t0", suspect, 0.0)
        assert choose_name(placement, suspect) is None
        assert choose_name(placement, build_query()) == "t0"

    def test_refuses_to_begin_on_a_leaving_target(self):
        placement = build_placement()
        placement.report_state("t0", TargetState.LEAVING, SignSource.PEER, 0.0)
        with pytest.raises(InvariantError):
            placement.begin("r1", "t0", build_query(), 0.0)

    def test_refuses_an_answer_of_another_target(self):
        placement = build_placement()
        placement.begin("r1", "t0", build_query(), 0.0)
        with pytest.raises(InvariantError):
            placement.finish("r1", "t1", AnswerResult.WHOLE, 1.0)


class TestAdaptiveLimit:
    def test_falls_by_the_overload_once_in_a_cooldown(self):
        limit = AdaptiveLimit(8.0, 2.0, 12.0)
        lowered = limit.with_excess(1.05, 10.0, SETTINGS)
        assert lowered.value == pytest.approx(8.0 / 1.05)
        assert lowered.with_excess(1.05, 11.0, SETTINGS) == lowered

    def test_rises_only_when_it_is_used(self):
        limit = AdaptiveLimit(4.0, 2.0, 12.0)
        assert limit.with_first_token(0.1, 100, 1, 0.0, SETTINGS).value == 4.0
        assert limit.with_first_token(0.1, 100, 4, 0.0, SETTINGS).value == 4.25


class TestTargetLoad:
    def test_report_counts_the_requests_of_others_at_its_time(self):
        load = TargetLoad().with_own(2, 1.0).with_own(5, 3.0)
        reported = load.with_report(running=6, waiting=1, observed_at=2.0)
        assert reported.others == 5
        assert reported.estimate_others(5.0, decay=3.0) < 5
        assert reported.with_report(0, 0, 1.5) == reported
