import dataclasses
import math
import random

import pytest

from kingcuphead.dispatch import (
    AttemptResult,
    HedgeConditions,
    HedgeDenial,
    HedgingPolicy,
    RequestClass,
    RetryAllowance,
)
from kingcuphead.routing import RequestKind, Route, WeightedService

KIND = RequestClass("pool", "idempotent", 7)
CALM = HedgeConditions("pool", True, False, 0.0, running=2, slots=16)
SHARE = 0.05
TARGETS = 40
#: Seconds of an answer of a sound target, and of a slow or lost one.
USUAL, SLOW = 0.02, 0.5


def make_policy(share=SHARE, ratio=0.2, burst=0.0, answers=100, requests=1_000):
    retries = RetryAllowance(ratio, burst, 10.0)
    policy = HedgingPolicy(share, retries)
    for number in range(requests):
        policy.count_request("pool", 0.0)
        retries.count_request("pool", 0.0)
        if number < answers:
            policy.record_end(KIND, "t", AttemptResult.ANSWERED, USUAL, 0.0)
    return policy


def make_route(kind, is_resumable):
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        services=(WeightedService("pool", 1),),
        timeout=2.0,
        objective=0.2,
        event_gap_objective=0.1,
        rank=0,
        max_attempts=2,
        is_anonymous=False,
        is_resumable=is_resumable,
    )


@dataclasses.dataclass
class Outcome:
    """What one load came to."""

    times: list[float]
    unhedged: list[float]
    second_attempts: int = 0

    def get_share(self):
        return self.second_attempts / len(self.times)


def play(slow_targets, running=2, requests=4_000, is_cancel_seen=True, seed=1):
    """Send requests at random targets; the slow ones take 25 times as long."""
    rng = random.Random(seed)
    retries = RetryAllowance(0.2, 0.0, 10.0)
    policy = HedgingPolicy(SHARE, retries)
    outcome = Outcome([], [])
    for number in range(requests):
        now = number * 0.01
        policy.count_request("pool", now)
        retries.count_request("pool", now)
        first = rng.randrange(TARGETS)
        seconds = SLOW if first < slow_targets else USUAL * rng.uniform(0.8, 1.2)
        delay = policy.get_delay(KIND)
        outcome.unhedged.append(seconds)
        result, total = AttemptResult.ANSWERED, seconds
        if seconds > delay:
            policy.record_late(f"t{first}", now + delay)
            total = try_second(policy, rng, outcome, slow_targets, running, now, delay)
            total = min(seconds, total)
            if total < seconds and is_cancel_seen:
                result = AttemptResult.CANCELLED
        outcome.times.append(total)
        ended = total if result is AttemptResult.CANCELLED else seconds
        policy.record_end(KIND, f"t{first}", result, ended, now + ended)
    return outcome


def try_second(policy, rng, outcome, slow_targets, running, now, delay):
    """Return when a second attempt would end; infinite if none starts."""
    at = now + delay
    conditions = dataclasses.replace(CALM, running=running)
    others = [each for each in range(TARGETS) if not policy.is_slow(f"t{each}", at)]
    if policy.find_denial(conditions, at) or not others:
        return math.inf
    if policy.claim("pool", at):
        return math.inf
    outcome.second_attempts += 1
    return delay + (SLOW if rng.choice(others) < slow_targets else USUAL)


def get_quantile(times, share):
    return sorted(times)[int(share * len(times))]


class TestLoads:
    """Plays loads by the policy alone, without a network."""

    def test_the_slowest_answers_fall_and_extra_work_is_bounded(self):
        outcome = play(slow_targets=1)
        assert get_quantile(outcome.unhedged, 0.98) == SLOW
        assert get_quantile(outcome.times, 0.98) < SLOW / 2
        assert 0 < outcome.get_share() <= SHARE

    def test_extra_work_is_bounded_when_all_targets_are_slow(self):
        outcome = play(slow_targets=TARGETS)
        assert outcome.get_share() <= SHARE

    def test_a_busy_service_gets_no_second_attempts(self):
        assert not play(slow_targets=1, running=9).second_attempts

    def test_a_cancel_that_a_target_does_not_see_is_counted_once(self):
        outcome = play(slow_targets=2, is_cancel_seen=False)
        assert outcome.get_share() <= SHARE


class TestFleet:
    """A daemon of a fleet of 70: 12 requests a second of 10 sizes.

    An answer takes 20 ms, doubled for each third size; one in 25 takes 25 times that.
    """

    REQUESTS = 360
    RATE = 12

    def play(self, seed=1):
        """Return the answers' times, those without second attempts and their starts."""
        rng, retries = random.Random(seed), RetryAllowance(0.2, 0.0, 10.0)
        policy = HedgingPolicy(SHARE, retries)
        times: list[float] = []
        unhedged: list[float] = []
        starts: list[float] = []
        for number in range(self.REQUESTS):
            now = number / self.RATE
            policy.count_request("pool", now)
            retries.count_request("pool", now)
            size = rng.randrange(10)
            usual = USUAL * 2 ** (size // 3)
            seconds = usual * (25 if rng.random() < 0.04 else rng.uniform(0.8, 1.2))
            kind = dataclasses.replace(KIND, size_class=size)
            total = self.answer(policy, kind, seconds, usual, now, starts)
            times.append(total)
            unhedged.append(seconds)
        return times, unhedged, starts

    def answer(self, policy, kind, seconds, usual, now, starts):
        """Run the attempts of one request and return the time of its answer."""
        delay, result, total = policy.get_delay(kind), AttemptResult.ANSWERED, seconds
        at = now + delay
        is_late = seconds > delay and not policy.find_denial(CALM, at)
        if is_late and policy.claim("pool", at) is None:
            starts.append(at)
            total = min(seconds, delay + usual)
        if total < seconds:
            result = AttemptResult.CANCELLED
            policy.record_end(kind, "u", AttemptResult.ANSWERED, usual, now + total)
        policy.record_end(kind, "t", result, total, now + total)
        return total

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_second_attempts_begin_within_seconds(self, seed, monkeypatch):
        """Guards against no second attempts while each size has few observations."""
        times, unhedged, starts = self.play(seed)
        assert starts[0] < 10
        assert len(starts) <= SHARE * self.REQUESTS
        assert sum(times) < sum(unhedged)
        monkeypatch.setattr(RequestClass, "list_fallbacks", lambda each: (each,))
        times_without, _, starts_without = self.play(seed)
        assert len(starts_without) < len(starts)
        assert get_quantile(times, 0.98) < get_quantile(times_without, 0.98)


class TestCoveredRequests:
    @pytest.mark.parametrize(
        ("kind", "is_resumable", "has_begun", "is_covered"),
        [
            (RequestKind.IDEMPOTENT, False, False, True),
            (RequestKind.AT_MOST_ONCE, False, False, False),
            (RequestKind.STREAM, True, False, True),
            # It would go on at two targets.
            (RequestKind.STREAM, True, True, False),
            # It must not run twice.
            (RequestKind.STREAM, False, False, False),
        ],
    )
    def test_kinds(self, kind, is_resumable, has_begun, is_covered):
        policy = HedgingPolicy(SHARE, RetryAllowance(0.2, 0.0, 10.0), True)
        assert policy.covers(make_route(kind, is_resumable), has_begun) is is_covered

    @pytest.mark.parametrize(
        ("share", "covers_streams", "covered"),
        [
            (0.0, True, []),
            (SHARE, False, [RequestKind.IDEMPOTENT]),
        ],
    )
    def test_they_are_off_by_default(self, share, covers_streams, covered):
        retries = RetryAllowance(0.2, 0.0, 10.0)
        policy = HedgingPolicy(share, retries, covers_streams)
        routes = [make_route(kind, is_resumable=True) for kind in RequestKind]
        assert [each.kind for each in routes if policy.covers(each, False)] == covered


class TestDelay:
    def test_it_is_unknown_before_50_observations(self):
        assert make_policy(answers=49).get_delay(KIND) == math.inf
        assert make_policy(answers=50).get_delay(KIND) < math.inf

    def test_it_is_not_below_the_95th_percentile(self):
        policy = make_policy(answers=0)
        for number in range(200):
            seconds = 0.01 * (1 + number % 100)
            policy.record_end(KIND, "t", AttemptResult.ANSWERED, seconds, 0.0)
        assert 0.95 <= policy.get_delay(KIND) <= 0.95 * 1.15

    def test_attempts_that_were_cut_short_early_do_not_lower_it(self):
        policy = make_policy()
        before = policy.get_delay(KIND)
        for _ in range(3):
            policy.record_end(KIND, "t", AttemptResult.CANCELLED, 0.001, 0.0)
            policy.record_end(KIND, "t", AttemptResult.CANCELLED, SLOW, 0.0)
        assert policy.get_delay(KIND) == before

    def test_attempts_that_were_cut_short_count_with_the_time_that_they_ran(self):
        policy = make_policy(answers=92)
        for _ in range(8):
            policy.record_end(KIND, "t", AttemptResult.CANCELLED, SLOW, 0.0)
        assert policy.get_delay(KIND) >= SLOW

    def test_other_sizes_are_measured_apart(self):
        """Guards against the delay of small requests for large ones."""
        policy, other = make_policy(), dataclasses.replace(KIND, size_class=8)
        usual = policy.get_delay(KIND)
        for _ in range(50):
            policy.record_end(other, "t", AttemptResult.ANSWERED, SLOW, 0.0)
        assert policy.get_delay(KIND) == usual
        assert SLOW <= policy.get_delay(other) < math.inf

    @pytest.mark.parametrize(
        ("changes", "is_known"),
        [
            ({"size_class": 8}, True),
            ({"kind": "stream"}, True),
            ({"kind": "stream", "size_class": 8}, True),
            # Other services have nothing in common with it.
            ({"service": "other"}, False),
        ],
    )
    def test_a_class_with_few_observations_takes_that_of_a_wider_one(
        self, changes, is_known
    ):
        """Guards against small fleets in which no class reaches 50 observations."""
        policy, other = make_policy(), dataclasses.replace(KIND, **changes)
        for _ in range(49):
            policy.record_end(other, "t", AttemptResult.CANCELLED, 0.001, 0.0)
        assert (policy.get_delay(other) == policy.get_delay(KIND)) is is_known

    def test_its_own_kind_counts_before_others(self):
        """Guards against the delay of first events for whole answers."""
        policy = make_policy()
        stream = dataclasses.replace(KIND, kind="stream")
        for _ in range(50):
            policy.record_end(stream, "t", AttemptResult.ANSWERED, SLOW, 0.0)
        other = dataclasses.replace(stream, size_class=8)
        assert SLOW <= policy.get_delay(other) < math.inf
        assert policy.get_delay(dataclasses.replace(KIND, size_class=8)) < SLOW

    def test_it_follows_targets_that_have_become_slower(self):
        policy = make_policy(answers=400)
        for _ in range(200):
            policy.record_end(KIND, "t", AttemptResult.ANSWERED, SLOW, 0.0)
        assert policy.get_delay(KIND) >= SLOW


class TestDenials:
    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({}, None),
            ({"has_attempts_left": False}, HedgeDenial.ATTEMPTS),
            ({"is_quarantined": True}, HedgeDenial.QUARANTINED),
            ({"queue_seconds": 0.05}, HedgeDenial.OWN_DELAY),
            ({"running": 8}, None),
            ({"running": 8.1}, HedgeDenial.BUSY),
        ],
    )
    def test_conditions(self, changes, reason):
        conditions = dataclasses.replace(CALM, **changes)
        assert make_policy().find_denial(conditions, 1.0) is reason

    def test_a_late_event_loop_denies_for_a_second(self):
        policy = make_policy()
        policy.record_lag(0.05, 1.0)
        assert policy.find_denial(CALM, 1.9) is HedgeDenial.OWN_DELAY
        assert policy.find_denial(CALM, 2.1) is None

    def test_the_share_bounds_second_attempts(self):
        policy = make_policy(share=0.02, requests=100)
        claims = [policy.claim("pool", 1.0) for _ in range(3)]
        assert claims == [None, None, HedgeDenial.SHARE]
        assert policy.find_denial(CALM, 1.0) is HedgeDenial.SHARE

    def test_the_retry_budget_bounds_second_attempts(self):
        policy = make_policy(share=1.0, ratio=0.01, requests=100)
        claims = [policy.claim("pool", 1.0) for _ in range(2)]
        assert claims == [None, HedgeDenial.RETRY_BUDGET]

    def test_they_are_off_by_default(self):
        policy = make_policy(share=0.0)
        assert not policy.is_enabled
        assert policy.claim("pool", 1.0) is HedgeDenial.SHARE

    def test_a_target_is_slow_until_it_answers_in_time(self):
        policy = make_policy()
        policy.record_late("t", 1.0)
        assert policy.is_slow("t", 1.5)
        policy.record_end(KIND, "t", AttemptResult.ANSWERED, USUAL, 1.5)
        assert not policy.is_slow("t", 1.5)
