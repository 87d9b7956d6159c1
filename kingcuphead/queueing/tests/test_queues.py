import random

import pytest

from kingcuphead.fairness import WaitingRequest
from kingcuphead.queueing import QueueingSettings
from kingcuphead.queueing._backlog import Backlog, Lane
from kingcuphead.queueing._fairness import FairQueue
from kingcuphead.queueing._occupancy import Occupancy
from kingcuphead.queueing._retries import RetryBudget, RetrySchedule
from kingcuphead.queueing.tests.factories import CLASSES, build_request

LANE = Lane("pool", "m")


def push(queue, request_id, organisation, size=100, weight=1):
    request = build_request(request_id, organisation=organisation, size=size)
    waiting = WaitingRequest(request, 0.0, weight)
    queue.push(waiting)
    return waiting


def list_ids(queue):
    return [waiting.request.request_id for waiting in queue.iterate()]


class TestFairQueue:
    def test_organisations_get_equal_tokens(self):
        queue = FairQueue()
        for number in range(4):
            push(queue, f"a{number}", "a", size=50)
        for number in range(2):
            push(queue, f"b{number}", "b", size=100)
        assert list_ids(queue) == ["a0", "b0", "a1", "a2", "b1", "a3"]

    def test_weight_multiplies_the_share_of_tokens(self):
        queue = FairQueue()
        for number in range(4):
            push(queue, f"a{number}", "a", weight=2)
            push(queue, f"b{number}", "b")
        assert [name[0] for name in list_ids(queue)][:6].count("a") == 4

    def test_idle_organisation_accumulates_no_credit(self):
        queue = FairQueue()
        for number in range(5):
            push(queue, f"a{number}", "a")
        for _ in range(3):
            queue.serve(next(queue.iterate()))
        push(queue, "b0", "b")
        push(queue, "b1", "b")
        assert list_ids(queue) == ["b0", "a3", "b1", "a4"]

    def test_request_that_leaves_unserved_is_not_charged(self):
        queue = FairQueue()
        removed = push(queue, "a0", "a", size=10_000)
        push(queue, "b0", "b")
        queue.remove(removed)
        push(queue, "a1", "a")
        assert list_ids(queue) == ["a1", "b0"]

    def test_retry_precedes_first_attempts(self):
        queue = FairQueue()
        push(queue, "a0", "a")
        retry = build_request("a1", organisation="a", excluded=("t1",))
        queue.push(WaitingRequest(retry, 1.0))
        assert list_ids(queue) == ["a1", "a0"]

    def test_tokens_ahead_include_other_organisations(self):
        queue = FairQueue()
        for number in range(3):
            push(queue, f"a{number}", "a")
        assert queue.count_tokens_ahead(push(queue, "b0", "b")) == 0
        assert queue.count_tokens_ahead(push(queue, "b1", "b")) == 200


class TestBacklog:
    def sort_classes(self, now, *requests):
        backlog = Backlog()
        for request, arrived_at in requests:
            backlog.push(request, 1, arrived_at)
        classes = {entry.name: entry for entry in CLASSES}
        return [entry.work_class.name for entry in backlog.sort_queues(classes, now)]

    @pytest.mark.parametrize(("now", "first"), [(1.0, "normal"), (25.0, "background")])
    def test_ageing_raises_the_rank_of_the_lowest_class(self, now, first):
        background = build_request("r1", work_class="background")
        normal = build_request("r2", work_class="normal")
        assert self.sort_classes(now, (background, 0.0), (normal, now))[0] == first


class TestOccupancy:
    @pytest.mark.parametrize(
        ("running", "work_class", "has_slot"),
        [
            ((), "background", True),
            (("background",) * 4, "background", False),
            (("background",) * 4, "normal", True),
            (("background",) * 4 + ("normal",) * 2, "normal", False),
            (("normal",) * 6, "background", False),
            (("normal",) * 6, "urgent", True),
        ],
    )
    def test_class_shares_limit_eight_slots(self, running, work_class, has_slot):
        occupancy = Occupancy()
        for name in running:
            occupancy.add(LANE, name)
        classes = {entry.name: entry for entry in CLASSES}
        assert occupancy.has_slot(LANE, classes[work_class], 8, classes) is has_slot


class TestRetries:
    def test_retries_are_limited_to_a_tenth_of_requests_after_the_burst(self):
        budget = RetryBudget(QueueingSettings(retry_burst=2.0))
        assert [budget.try_spend() for _ in range(3)] == [True, True, False]
        for _ in range(10):
            budget.refill()
        assert [budget.try_spend(), budget.try_spend()] == [True, False]

    def test_retries_of_refused_callers_are_spread_over_time(self):
        retry_schedule = RetrySchedule(QueueingSettings(), random.Random(1))
        times = [retry_schedule.schedule_retry(2.0, 10.0, 0.0) for _ in range(200)]
        assert all(1.0 <= time <= 60.0 for time in times)
        per_second = [
            sum(second <= time < second + 1 for time in times) for second in range(60)
        ]
        assert max(per_second) <= 20
