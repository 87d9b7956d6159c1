import dataclasses
import random

import pytest

from kingcuphead.admission import AdmissionRequest, RetryAges
from kingcuphead.admission._retry_age import MAX_ROUTES, ROUTE_LIFETIME
from kingcuphead.admission._service_admission import ServiceAdmission
from kingcuphead.admission.tests._load import compute_share
from kingcuphead.admission.tests._retries import play_calls
from kingcuphead.admission.tests.test_load import FLEETS

FIRST = 2.0


def observe_all(ages, values, route="r", now=0.0):
    return [ages.observe(route, value, now) for value in values]


class TestAge:
    @pytest.mark.parametrize(
        ("earlier", "remaining", "age"),
        [
            ([FIRST] * 7, 1.7, 0.3),
            # Too few requests tell nothing.
            ([FIRST] * 6, 1.7, 0.0),
            ([FIRST] * 7, FIRST, 0.0),
            # Some callers state more than others.
            ([FIRST] * 7, 2.5, 0.0),
            # Callers' own clocks differ by milliseconds.
            ([FIRST] * 7, 1.99, 0.0),
            ([FIRST] * 7, None, 0.0),
            # One in three is a retry in an overload.
            ([FIRST, FIRST, 1.61, FIRST, FIRST, 1.52, FIRST, FIRST], 1.7, 0.3),
            # Two values of first tries: the lower one isn't that of retries.
            ([FIRST, FIRST, FIRST, 1.5] * 4, 1.5, 0.0),
            ([FIRST, 1.5] * 8, 1.5, 0.0),
        ],
    )
    def test_it_is_the_difference_from_the_value_of_first_tries(
        self, earlier, remaining, age
    ):
        ages = RetryAges()
        observe_all(ages, earlier)
        assert ages.observe("r", remaining, 0.0) == pytest.approx(age)

    def test_a_route_with_varying_values_gives_none(self):
        """Otherwise, requests of patient callers would wait behind the others."""
        rng, ages = random.Random(1), RetryAges()
        values = [round(rng.uniform(0.5, 2.0), 3) for _ in range(500)]
        assert not any(observe_all(ages, values))

    def test_it_follows_another_value(self):
        ages = RetryAges()
        observe_all(ages, [FIRST] * 100 + [1.0] * 32)
        assert ages.observe("r", 0.75, 0.0) == 0.25

    def test_routes_are_apart(self):
        ages = RetryAges()
        observe_all(ages, [FIRST] * 20)
        assert ages.observe("other", 1.5, 0.0) == 0


class TestMemory:
    def test_routes_without_requests_are_forgotten(self):
        ages = RetryAges()
        observe_all(ages, [FIRST] * 20, "gone")
        ages.observe("r", FIRST, ROUTE_LIFETIME)
        assert len(ages) == 1

    def test_the_number_of_routes_is_bounded(self):
        ages = RetryAges()
        for number in range(2 * MAX_ROUTES):
            ages.observe(f"r{number}", FIRST, 0.0)
        assert len(ages) == MAX_ROUTES


def make_request(name, rank=2, age=0.0):
    return AdmissionRequest(
        request_id=name,
        service="s",
        organisation="a",
        rank=rank,
        size=1,
        body_bytes=1,
        fingerprint=name,
        arrived_at=10.0,
        objective_ends_at=10.5 - age,
        deadline=12.0,
        age=age,
    )


class TestPlace:
    @pytest.mark.parametrize(
        ("retry", "order"),
        [
            # Ahead of its rank, but of no more urgent one.
            (make_request("retry", age=0.3), ["urgent", "retry", "new"]),
            # Past its objective: behind those that can meet theirs.
            (make_request("retry", age=0.6), ["urgent", "new", "retry"]),
        ],
    )
    def test_a_retry_is_served_by_its_true_objective(self, retry, order):
        service = ServiceAdmission()
        for request in (make_request("new"), retry, make_request("urgent", rank=0)):
            service.push(request, 10.0)
        admitted = [service.admit(lambda *_: True, 10.0) for _ in order]
        assert [each and each.request_id for each in admitted] == order

    def test_an_old_retry_does_not_age_sooner(self):
        """Aged requests go ahead of more urgent ranks."""
        assert make_request("retry", age=0.6).aged_at == make_request("new").aged_at


class TestLoad:
    """Callers that retry once at another daemon, with and without the age."""

    @pytest.mark.parametrize("demand", [1.2, 2.0])
    @pytest.mark.parametrize("profile", FLEETS)
    def test_fewer_are_refused_twice_and_no_fewer_in_time(self, profile, demand):
        """Retries at other daemons start again behind all that wait there."""
        before = play_calls(profile, {0: demand})
        profile = dataclasses.replace(profile, prefers_retries=True)
        after = play_calls(profile, {0: demand})
        shares = [
            (
                compute_share(calls, lambda call: call.is_refused_twice),
                compute_share(calls, lambda call: call.is_in_time(profile.objective)),
            )
            for calls in (before, after)
        ]
        assert shares[1][0] < shares[0][0]
        assert shares[1][1] >= shares[0][1]

    def test_a_route_with_varying_values_changes_nothing(self):
        def play(prefers_retries):
            profile = dataclasses.replace(FLEETS[1], prefers_retries=prefers_retries)
            return play_calls(
                profile,
                {0: 2.0},
                seconds=2,
                choose_timeout=lambda rng: round(rng.uniform(1.0, 2.0), 3),
            )

        assert play(True) == play(False)
