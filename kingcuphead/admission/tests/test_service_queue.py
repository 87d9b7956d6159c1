import dataclasses

import pytest

from kingcuphead.admission._messages import AdmissionRequest, Standing
from kingcuphead.admission._service_queue import (
    AGED_INTERVAL,
    HOLD_BACK_SECONDS,
    MAX_SKIPS,
    ServiceQueue,
)


def make_request(
    name,
    organisation="a",
    rank=0,
    objective=1.0,
    answer=0.0,
    size=10,
    arrived=0.0,
    deadline=60.0,
):
    return AdmissionRequest(
        request_id=name,
        service="pool",
        organisation=organisation,
        rank=rank,
        size=size,
        body_bytes=1,
        fingerprint=name,
        arrived_at=arrived,
        objective_ends_at=objective,
        deadline=deadline,
        answer_seconds=answer,
    )


def make_queue(*requests, standing=Standing.TIMELY):
    queue = ServiceQueue()
    for request in requests:
        queue.push(request, standing, 0.0)
    return queue


def admit(queue, now, has_room=lambda request, yields_to_timely: True, overtakes=True):
    entry = queue.admit(has_room, lambda rank: overtakes, now)
    return None if entry is None else entry.request.request_id


class TestOrder:
    @pytest.mark.parametrize(
        ("requests", "order"),
        [
            ([{"rank": 1}, {"rank": 0}], "10"),
            ([{"objective": 2.0}, {"objective": 1.0}], "10"),
            # A long answer has to begin earlier.
            ([{"objective": 1.0}, {"objective": 1.2, "answer": 0.5}], "10"),
            # It can't meet its objective any more.
            ([{"objective": 0.1}, {"objective": 5.0}], "10"),
            # A rank goes before what is in time in the next one.
            ([{"rank": 1}, {"rank": 0, "objective": 0.1}], "10"),
            # An organisation waits behind its own requests.
            (
                [
                    {"objective": 1.0},
                    {"objective": 1.1},
                    {"organisation": "b", "objective": 1.2},
                ],
                "021",
            ),
        ],
    )
    def test_requests_are_admitted_in_order(self, requests, order):
        queue = make_queue(
            *(make_request(str(index), **each) for index, each in enumerate(requests))
        )
        assert "".join(admit(queue, 0.2) for _ in requests) == order

    def test_one_that_came_back_is_first_in_its_rank(self):
        queue = make_queue(make_request("first"), make_request("urgent", rank=0))
        queue.push(make_request("returned", objective=3.0), Standing.EXPEDITED, 0.0)
        assert admit(queue, 0.1) == "returned"


class TestAgeing:
    @pytest.mark.parametrize("overtakes", [True, False])
    def test_an_aged_request_overtakes_if_its_rank_may(self, overtakes):
        """Requests of a more urgent rank that never end would starve it."""
        queue = make_queue(make_request("aged", rank=1))
        admitted = []
        for number in range(AGED_INTERVAL + 1):
            urgent = dataclasses.replace(
                make_request(f"u{number}", objective=3.5), arrived_at=2.5
            )
            queue.push(urgent, Standing.TIMELY, 2.5)
            admitted.append(admit(queue, 2.5, overtakes=overtakes))
        assert ("aged" in admitted) is overtakes

    def test_one_that_was_passed_over_holds_back_others_for_a_time(self):
        """Small requests would use the room for a large one up again and again."""
        queue = make_queue(make_request("large", objective=0.5))

        def has_room(request, yields_to_timely):
            return request.request_id != "large"

        for number in range(MAX_SKIPS):
            queue.push(make_request(f"s{number}"), Standing.TIMELY, 0.0)
            assert admit(queue, 0.0, has_room) == f"s{number}"
        queue.push(make_request("next"), Standing.TIMELY, 0.0)
        assert admit(queue, 0.0, has_room) is None
        assert admit(queue, HOLD_BACK_SECONDS + 0.01, has_room) == "next"
