import dataclasses
import random

import pytest

from kingcuphead.dispatch import Dispatcher, DispatchSettings, PlacementRequest
from kingcuphead.dispatch.tests._fleet import (
    PREFILL_RATE,
    PlayedFleet,
    get_quantile,
    is_small,
    make_prompt,
    make_targets,
)
from kingcuphead.loads import PeerLoads

REQUEST = PlacementRequest("pool", (), 10_000)
TARGETS = make_targets(3)


def make_dispatcher(is_contended=True):
    settings = DispatchSettings("z0", has_contended_engines=is_contended)
    return Dispatcher(settings, PeerLoads(), random.Random(1))


def serve(dispatcher, target, seconds, now, count=1):
    """Let a target answer requests in a given time, one after the other."""
    for number in range(count):
        start = now + number * (seconds + 0.01)
        placement = dispatcher.place(REQUEST, [target], (), start)
        dispatcher.record_first_event(placement, start + seconds)
        dispatcher.record_result(placement, "answered", start + seconds)
    return placement


class TestLearntSpeed:
    @pytest.mark.parametrize("rate", [20_000, 55_000, 101_000])
    def test_the_rate_is_learnt_from_first_events(self, rate):
        dispatcher = make_dispatcher()
        seconds = REQUEST.prompt_tokens / rate
        placement = serve(dispatcher, TARGETS[0], seconds, 0.0, count=30)
        assert placement.state.speed.rate == pytest.approx(rate, rel=0.15)

    def test_a_new_target_starts_from_the_median_of_its_service(self):
        dispatcher = make_dispatcher()
        for target in TARGETS[:2]:
            serve(dispatcher, target, REQUEST.prompt_tokens / 100_000, 0.0, count=30)
        new = dispatcher.place(REQUEST, TARGETS[2:], (), 9.0)
        assert new.expected_wait == pytest.approx(0.1, rel=0.2)

    def test_another_service_keeps_its_own_speed(self):
        dispatcher = make_dispatcher()
        serve(dispatcher, TARGETS[0], 0.02, 0.0, count=30)
        other = dataclasses.replace(TARGETS[1], service="other")
        assert dispatcher.place(REQUEST, [other], (), 9.0).expected_wait == 0.2

    def test_nothing_is_learnt_without_the_setting(self):
        dispatcher = make_dispatcher(is_contended=False)
        placement = serve(dispatcher, TARGETS[0], 2.0, 0.0, count=30)
        assert placement.state.latency_ratio == 1.0
        assert dispatcher.place(REQUEST, TARGETS[:1], (), 99.0).expected_wait == 0.2


class TestSlowTargets:
    """Some engines are 2.5 times slower for 0.6 s at a time."""

    def make_slow(self, dispatcher):
        """Let each target serve a request; the first one is slow."""
        for target in TARGETS:
            serve(dispatcher, target, 0.2, 0.0, count=5)
        serve(dispatcher, TARGETS[0], 0.5, 2.0)

    def count_chosen(self, dispatcher, now):
        names = []
        for _ in range(60):
            placement = dispatcher.place(REQUEST, TARGETS, (), now)
            names.append(placement.target.name)
            dispatcher.withdraw(placement)
        return names.count(TARGETS[0].name)

    def test_a_slow_target_is_left_and_found_again(self):
        dispatcher = make_dispatcher()
        self.make_slow(dispatcher)
        assert self.count_chosen(dispatcher, 2.6) == 0
        assert self.count_chosen(dispatcher, 6.0) > 0

    def test_a_request_that_is_overdue_shows_it_before_its_first_event(self):
        dispatcher = make_dispatcher()
        for target in TARGETS:
            serve(dispatcher, target, 0.2, 0.0, count=5)
        small = dataclasses.replace(REQUEST, prompt_tokens=100)
        dispatcher.place(small, TARGETS[:1], (), 2.0)
        assert self.count_chosen(dispatcher, 2.01) > 0
        assert self.count_chosen(dispatcher, 2.5) == 0

    @pytest.mark.parametrize("rate", [PREFILL_RATE, 0.4 * PREFILL_RATE])
    def test_requests_wait_less_in_a_fleet_with_slow_engines(self, rate):
        waits = []
        for is_contended in (False, True):
            settings = DispatchSettings("z", has_contended_engines=is_contended)
            fleet = PlayedFleet(settings)
            for number, engine in enumerate(fleet.engines.values()):
                engine.rate *= rate / PREFILL_RATE
                begins = [2 * each + number % 7 / 4 for each in range(4)]
                if number % 2:
                    engine.slowdowns = tuple((at, at + 0.6, 2.5) for at in begins)
            fleet.offer(8, 150 * rate / PREFILL_RATE, make_prompt)
            fleet.run(12)
            waits.append(get_quantile(fleet.list_waits(is_small), 0.9))
        before, after = waits
        assert after < before
