import dataclasses
import random

import pytest

from kingcuphead.dispatch import (
    AttemptResult,
    Dispatcher,
    DispatchSettings,
    RetryAllowance,
    SharedStart,
    Work,
)
from kingcuphead.loads import LoadBoard, LoadsReported, TargetLoad
from kingcuphead.targets import Availability, Target

TARGETS = tuple(
    Target(f"t{number}", "pool", f"10.0.0.{number}:80", "z", 8, Availability.READY, 1)
    for number in range(4)
)


def make_dispatcher(board=None, **settings):
    return Dispatcher(
        DispatchSettings("z", **settings), board or LoadBoard(), random.Random(1)
    )


def make_work(session="s", shared=5_000, own=1_000):
    return Work("pool", (SharedStart(f"/{session}", shared),), shared + own)


class TestAffinity:
    def test_all_daemons_send_a_shared_start_to_one_target(self):
        choices = {
            make_dispatcher().place(make_work(), TARGETS, (), 0.0).target.name
            for _ in range(5)
        }
        assert len(choices) == 1

    def test_sessions_spread_over_the_targets(self):
        dispatcher = make_dispatcher()
        names = set()
        for number in range(60):
            placement = dispatcher.place(make_work(f"s{number}"), TARGETS, (), 0.0)
            names.add(placement.target.name)
            dispatcher.start(placement, 0.1)
            dispatcher.finish(placement, AttemptResult.ANSWERED, 0.2)
        assert len(names) == len(TARGETS)

    def test_a_burst_on_one_session_leaves_its_home_when_it_would_be_late(self):
        """The load: 20 prompts of 12,000 tokens for one session at one moment."""
        dispatcher = make_dispatcher()
        placements = [
            dispatcher.place(make_work(own=7_000), TARGETS, (), 0.0) for _ in range(20)
        ]
        home = [each for each in placements if each.is_home]
        assert 1 < len(home) < 20
        assert max(each.expected_wait for each in placements) < 1.2


class TestCopying:
    """The load: a session whose home is busy, so that its start is read elsewhere."""

    def place_until_elsewhere(self, dispatcher):
        while True:
            placement = dispatcher.place(make_work(own=7_000), TARGETS, (), 0.0)
            if not placement.is_home:
                return placement

    def test_another_target_copies_the_shared_start_from_the_home(self):
        dispatcher = make_dispatcher()
        home = dispatcher.place(make_work(own=7_000), TARGETS, (), 0.0).target
        placement = self.place_until_elsewhere(dispatcher)
        assert placement.reading.source == home
        assert placement.reading.copied_tokens == 5_000

    def test_the_home_reads_what_nobody_has(self):
        placement = make_dispatcher().place(make_work(), TARGETS, (), 0.0)
        assert placement.is_home
        assert placement.reading.source is None

    def test_a_home_that_was_away_copies_from_where_the_start_was_read(self):
        dispatcher = make_dispatcher()
        home = dispatcher.place(make_work(), TARGETS, (), 0.0)
        dispatcher.finish(home, AttemptResult.ANSWERED, 0.1)
        others = [each for each in TARGETS if each != home.target]
        other = dispatcher.place(make_work(), others, (), 0.2)
        dispatcher.finish(other, AttemptResult.ANSWERED, 0.3)
        back = dataclasses.replace(home.target, started_at_ms=2)
        placement = dispatcher.place(make_work(), [back, *others], (), 0.4)
        assert placement.target == back
        assert placement.reading.source == other.target

    def test_a_target_that_is_left_alone_is_no_source(self):
        dispatcher = make_dispatcher()
        home = dispatcher.place(make_work(own=7_000), TARGETS, (), 0.0)
        for _ in range(6):
            dispatcher.finish(home, AttemptResult.UNREACHABLE, 0.1)
        placement = dispatcher.place(make_work(own=7_000), TARGETS, (), 0.1)
        assert home.target not in (placement.target, placement.reading.source)

    def test_short_starts_are_read(self):
        dispatcher = make_dispatcher()
        work = make_work(shared=200, own=12_000)
        placements = [dispatcher.place(work, TARGETS, (), 0.0) for _ in range(12)]
        assert not any(each.reading.source for each in placements)


class TestLoadOfOthers:
    def test_a_target_that_others_load_is_avoided(self):
        board = LoadBoard()
        home = make_dispatcher().place(make_work(), TARGETS, (), 0.0).target.name
        load = TargetLoad(home, 6, 120_000)
        board.take(LoadsReported("d2", 1, (load,)), 0.0)
        chosen = make_dispatcher(board).place(make_work(), TARGETS, (), 0.0)
        assert chosen.target.name != home

    def test_own_load_is_told_and_taken_back(self):
        dispatcher = make_dispatcher()
        placement = dispatcher.place(make_work(), TARGETS, (), 0.0)
        name = placement.target.name
        assert list(dispatcher.list_loads()) == [TargetLoad(name, 1, 1_000)]
        dispatcher.start(placement, 0.1)
        assert list(dispatcher.list_loads()) == [TargetLoad(name, 1, 0)]
        dispatcher.finish(placement, AttemptResult.ANSWERED, 0.2)
        assert not list(dispatcher.list_loads())


class TestAnnouncing:
    @pytest.mark.parametrize("own, told", [(1_000, 0), (30_000, 1)])
    def test_large_prompts_are_announced(self, own, told):
        dispatcher = make_dispatcher()
        calls = []
        dispatcher.announce = lambda: calls.append(1)
        dispatcher.place(make_work(own=own), TARGETS, (), 0.0)
        assert len(calls) == told


class TestHealth:
    @pytest.mark.parametrize(
        "result", [AttemptResult.UNREACHABLE, AttemptResult.SILENT]
    )
    def test_a_dark_target_is_left_alone_and_tried_again(self, result):
        dispatcher = make_dispatcher()
        first = dispatcher.place(make_work(), TARGETS, (), 0.0)
        dispatcher.finish(first, result, 0.4)
        second = dispatcher.place(make_work(), TARGETS, (), 0.5)
        assert second.target != first.target
        later = dispatcher.place(make_work(), TARGETS, (), 60.0)
        assert later.target == first.target

    def test_a_target_that_fails_its_requests_is_used_less(self):
        dispatcher = make_dispatcher()
        work = Work("desk")
        grey = TARGETS[0].name
        for _ in range(8):
            placement = dispatcher.place(work, TARGETS[:1], (), 0.0)
            dispatcher.finish(placement, AttemptResult.FAILED, 0.0)
        chosen = []
        for _ in range(40):
            placement = dispatcher.place(work, TARGETS, (), 0.1)
            dispatcher.finish(placement, AttemptResult.ANSWERED, 0.1)
            chosen.append(placement.target.name)
        assert chosen.count(grey) <= 2

    def test_a_cancelled_attempt_says_nothing(self):
        dispatcher = make_dispatcher()
        placement = dispatcher.place(make_work(), TARGETS, (), 0.0)
        dispatcher.finish(placement, AttemptResult.CANCELLED, 0.1)
        assert placement.state.health.get_failure_rate(0.1) == 0

    def test_excluded_targets_are_never_chosen(self):
        names = [target.name for target in TARGETS]
        dispatcher = make_dispatcher()
        assert dispatcher.place(make_work(), TARGETS, names, 0.0) is None


class TestRetryAllowance:
    def test_repeats_stay_within_ratio_and_burst(self):
        allowance = RetryAllowance(ratio=0.2, burst=3, window=10.0)
        for _ in range(50):
            allowance.count_request("pool", 0.0)
        granted = sum(allowance.spend("pool", 1.0) for _ in range(100))
        assert granted == 13

    def test_the_window_slides(self):
        allowance = RetryAllowance(ratio=0.0, burst=2, window=10.0)
        assert [allowance.spend("pool", now) for now in (0, 1, 2)] == [1, 1, 0]
        assert allowance.spend("pool", 10.5)
        assert not allowance.spend("pool", 10.6)

    def test_services_do_not_share(self):
        allowance = RetryAllowance(ratio=0.0, burst=1, window=10.0)
        assert allowance.spend("pool", 0.0)
        assert allowance.spend("desk", 0.0)
