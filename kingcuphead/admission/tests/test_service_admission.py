import pytest

from kingcuphead.admission._admission_times import AdmissionTimes
from kingcuphead.admission._answer_times import AnswerTimes
from kingcuphead.admission._messages import Rejection
from kingcuphead.admission._service_admission import (
    MAX_KEPT_LATE,
    MAX_REFUSAL_DELAY,
    MIN_COUNTED_ADMISSIONS,
    OVERTAKING_SHARE,
    ServiceAdmission,
)
from kingcuphead.admission.tests.test_service_queue import make_request
from kingcuphead.verdict import Reason

#: Seconds between two admissions.
INTERVAL = 0.1


def make_admission(late, objective=0.1, deadline=3.0):
    """Return a service that admits ten requests a second, and the time.

    Late requests wait, which were timely when they arrived.
    """
    service = ServiceAdmission()
    service.push(make_request("first", objective=60.0), 0.0)
    now = 0.0
    for number in range(20):
        now += INTERVAL
        service.push(make_request(f"next{number}", objective=60.0), now)
        service.admit(lambda request, yields_to_timely: True, now)
    service.admit(lambda request, yields_to_timely: True, now)
    for number in range(late):
        service.push(
            make_request(
                f"late{number}",
                arrived=now,
                objective=now + objective,
                deadline=now + deadline,
            ),
            now,
        )
    service.queue.refresh(now + objective + 0.01)
    return service, now


class TestLateRequests:
    """Requests that were expected to be in time and then aren't."""

    def test_one_that_can_be_refused_promptly_is(self):
        service, now = make_admission(late=2, objective=0.0)
        refused = list(service.review(now + MAX_REFUSAL_DELAY / 2))
        assert [each.refused.reason for each in refused] == [Reason.DEADLINE]

    def test_one_that_waited_goes_ahead_of_timely_ones(self):
        """A refusal would be late, and timely ones would use all the room."""
        service, now = make_admission(late=2)
        now += 2 * MAX_REFUSAL_DELAY + 0.02
        service.push(make_request("timely", arrived=now, objective=now + 5.0), now)
        assert not list(service.review(now))
        admitted = service.admit(lambda request, yields_to_timely: True, now)
        assert admitted.request_id == "late1"

    def test_few_go_ahead_and_few_are_kept(self):
        """When the room shrinks for long, timely answers are worth more."""
        service, now = make_admission(late=20)
        now += 2 * MAX_REFUSAL_DELAY + 0.02
        refused = list(service.review(now))
        ids = [each.request_id for each in service.queue.iterate()]
        expedited = [each for each in ids if service.queue.is_expedited(each)]
        assert len(expedited) <= OVERTAKING_SHARE * MIN_COUNTED_ADMISSIONS
        assert len(ids) <= len(expedited) + MAX_KEPT_LATE
        assert len(refused) == 20 - len(ids)

    def test_one_that_is_kept_ends_at_its_deadline(self):
        service, now = make_admission(late=1, deadline=0.5)
        assert [each.refused.reason for each in service.review(now + 0.51)] == [
            Reason.DEADLINE
        ]


class TestFullQueue:
    """One request too many waits; a caller that is refused late can't retry."""

    @pytest.mark.parametrize(
        ("age", "rank", "refused"),
        [(MAX_REFUSAL_DELAY / 2, 0, "w15"), (2 * MAX_REFUSAL_DELAY, 0, "new")],
    )
    def test_none_that_has_waited_is_refused(self, age, rank, refused):
        service = ServiceAdmission()
        for number in range(16):
            waiting = make_request(f"w{number}", rank=2, objective=9.0)
            service.push(waiting, 0.0)
        for name in ("other", "new"):
            request = make_request(name, rank=rank, arrived=age, objective=9.0)
            service.push(request, age)
        rejected = list(service.review_arrival(request, 17, running=0, now=age))
        assert [each.request.request_id for each in rejected] == [refused]

    def test_one_that_waits_again_is_kept(self):
        """It was admitted, and then no engine had memory for it."""
        service = ServiceAdmission()
        for number in range(17):
            request = make_request(f"w{number}", objective=9.0)
            service.push(request, 0.0)
        now = 2 * MAX_REFUSAL_DELAY
        assert not list(service.review_arrival(request, 16, running=0, now=now))


class TestUnmeasured:
    """Requests that arrive before anything was measured."""

    @pytest.mark.parametrize(("age", "refused"), [(0.1, 0), (0.6, 1)])
    def test_they_are_judged_by_those_in_progress(self, age, refused):
        """A queue that is filled before the first answer makes all of it late."""
        service = ServiceAdmission()
        for number in range(4):
            service.record_direct(make_request(f"r{number}"), 0.0)
        rejected: list[Rejection] = []
        for name in ("first", "second"):
            request = make_request(name, arrived=age, objective=age + 0.5)
            service.push(request, age)
            rejected += service.review_arrival(request, 16, running=4, now=age)
        assert len(rejected) == refused

    def test_one_alone_waits(self):
        """It may be expected to be late because it is long itself."""
        service = ServiceAdmission()
        service.record_direct(make_request("running"), 0.0)
        request = make_request("long", arrived=9.0, objective=9.5, answer=2.0)
        service.push(request, 9.0)
        assert not list(service.review_arrival(request, 16, running=1, now=9.0))


class TestAdmissionTimes:
    def test_the_oldest_in_progress_is_known_by_their_number(self):
        times = AdmissionTimes()
        for now in (1.0, 2.0, 3.0):
            times.record(now)
        assert times.get_age(0, 4.0) == 0.0
        assert times.get_age(2, 4.0) == 2.0
        assert times.get_age(9, 4.0) == 3.0


class TestAnswerTimes:
    def test_most_answers_take_less_than_the_estimate(self):
        """At the mean alone, every other request would be late."""
        times = AnswerTimes()
        for seconds in (0.1, 0.5) * 50:
            times.record("pool", 10, seconds)
        assert 0.4 < times.estimate("pool", 10) < 0.6

    def test_equal_answers_have_no_margin(self):
        times = AnswerTimes()
        for _ in range(50):
            times.record("pool", 10, 0.2)
        assert times.estimate("pool", 10) == pytest.approx(0.2)
        assert times.estimate("pool", 10_000) == 0.0
