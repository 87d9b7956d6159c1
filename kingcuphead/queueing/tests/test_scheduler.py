import pytest

from kingcuphead.invariants import InvariantError
from kingcuphead.placement import (
    AnswerResult,
    StateSource,
    TargetState,
    compute_score,
    encode_key,
)
from kingcuphead.queueing import (
    AnswerFinished,
    AnswerStarted,
    ProbeAnswered,
    QueueingSettings,
    SchedulerSettings,
    TargetReported,
    Ticked,
)
from kingcuphead.queueing.tests.factories import (
    build_request,
    build_scheduler,
    build_target,
    get_placed,
    get_rejected,
)
from kingcuphead.verdict import Execution, Reason


def find_preferred_target(key: str) -> str:
    return max(("t1", "t2"), key=lambda name: compute_score(encode_key(key), name))


class TestScheduler:
    def test_waiting_request_is_placed_on_a_freed_slot(self):
        scheduler = build_scheduler(build_target("t1", concurrency=1))
        assert get_placed(scheduler.receive(build_request("r1"), 0.0)) == {"r1": "t1"}
        assert scheduler.receive(build_request("r2"), 0.0) == ()
        scheduler.receive(AnswerStarted("r1"), 0.1)
        finished = AnswerFinished("r1", "t1", AnswerResult.WHOLE)
        assert get_placed(scheduler.receive(finished, 0.2)) == {"r2": "t1"}

    def test_background_share_leaves_a_slot_for_an_urgent_request(self):
        scheduler = build_scheduler()
        for number in range(6):
            request = build_request(f"r{number}", work_class="background")
            scheduler.receive(request, 0.0)
        urgent = build_request("u", work_class="urgent", deadline=1.0)
        assert get_placed(scheduler.receive(urgent, 0.0)) == {"u": "t1"}

    def test_request_expected_to_miss_its_deadline_is_refused_at_once(self):
        scheduler = build_scheduler(build_target("t1", concurrency=1))
        scheduler.receive(build_request("r1"), 0.0)
        late = build_request("r2", deadline=0.5)
        (rejected,) = get_rejected(scheduler.receive(late, 0.0)).values()
        assert rejected.verdict.execution is Execution.NOT_RUN
        assert rejected.verdict.reason is Reason.DEADLINE
        assert rejected.verdict.retry_after is not None

    @pytest.mark.parametrize(
        "source", [StateSource.LIST, StateSource.ANSWER, StateSource.PEER]
    )
    def test_leaving_target_gets_no_new_requests(self, source):
        scheduler = build_scheduler(build_target("t1"), build_target("t2"))
        scheduler.receive(TargetReported("t1", TargetState.LEAVING, source), 0.0)
        live = TargetReported("t1", TargetState.LIVE, StateSource.LIST)
        scheduler.receive(live, 0.1)
        placed = [
            target
            for number in range(4)
            for target in get_placed(
                scheduler.receive(build_request(f"r{number}"), 0.2)
            ).values()
        ]
        assert set(placed) == {"t2"}

    def test_request_that_crashed_two_targets_is_quarantined(self):
        scheduler = build_scheduler(build_target("t1"), build_target("t2"))
        first = get_placed(scheduler.receive(build_request("r1"), 0.0))["r1"]
        scheduler.receive(AnswerFinished("r1", first, AnswerResult.DIED), 0.1)
        retry = build_request("r1", excluded=(first,), execution=Execution.MAY_HAVE_RUN)
        second = get_placed(scheduler.receive(retry, 0.1))["r1"]
        scheduler.receive(AnswerFinished("r1", second, AnswerResult.DIED), 0.2)
        scheduler.receive(ProbeAnswered(first, True), 0.3)
        again = build_request("r9", fingerprint="f-r1")
        (rejected,) = get_rejected(scheduler.receive(again, 0.4)).values()
        assert rejected.verdict.reason is Reason.QUARANTINED

    def test_full_queue_rejects_the_lowest_class(self):
        settings = SchedulerSettings(queueing=QueueingSettings(capacity=1))
        target = build_target("t1", concurrency=1)
        scheduler = build_scheduler(target, settings=settings)
        scheduler.receive(build_request("r1"), 0.0)
        scheduler.receive(build_request("low", work_class="background"), 0.0)
        rejected = get_rejected(scheduler.receive(build_request("r2"), 0.1))
        assert rejected["low"].verdict.reason is Reason.QUEUE_FULL
        assert scheduler.count_queued() == {"normal": 1}

    def test_waiting_request_is_rejected_once_it_would_miss_its_deadline(self):
        scheduler = build_scheduler(build_target("t1", concurrency=1))
        scheduler.receive(build_request("r1"), 0.0)
        assert scheduler.receive(build_request("r2", deadline=5.0), 0.0) == ()
        assert not get_rejected(scheduler.receive(Ticked(), 1.0))
        scheduler.receive(ProbeAnswered("t1", True), 1.0)
        rejected = get_rejected(scheduler.receive(Ticked(), 4.5))
        assert rejected["r2"].verdict.reason is Reason.DEADLINE

    def test_exhausted_retry_budget_reports_that_the_request_may_have_run(self):
        settings = SchedulerSettings(queueing=QueueingSettings(retry_burst=1.0))
        targets = build_target("t1"), build_target("t2")
        scheduler = build_scheduler(*targets, settings=settings)
        retry = {"excluded": ("t1",), "execution": Execution.MAY_HAVE_RUN}
        assert get_placed(scheduler.receive(build_request("r1", **retry), 0.0))
        effects = scheduler.receive(build_request("r2", **retry), 0.0)
        verdict = get_rejected(effects)["r2"].verdict
        assert verdict.reason is Reason.TARGET_FAILED
        assert verdict.execution is Execution.MAY_HAVE_RUN

    def test_request_that_is_not_idempotent_is_never_retried(self):
        retry = {"excluded": ("t2",), "execution": Execution.MAY_HAVE_RUN}
        request = build_request("r1", is_idempotent=False, **retry)
        with pytest.raises(InvariantError):
            build_scheduler().receive(request, 0.0)

    @pytest.mark.parametrize(("max_skips", "placed"), [(16, "cached"), (0, "uncached")])
    def test_freed_slot_goes_to_the_request_with_a_cached_prefix(
        self, max_skips, placed
    ):
        settings = SchedulerSettings(QueueingSettings(max_skips=max_skips))
        targets = [build_target(name, concurrency=1) for name in ("t1", "t2")]
        scheduler = build_scheduler(*targets, settings=settings)
        running = {}
        for request_id in ("r1", "r2"):
            request = build_request(request_id, work_class="urgent")
            (target,) = get_placed(scheduler.receive(request, 0.0)).values()
            running[target] = request_id
        keys = {
            find_preferred_target(key): key
            for key in ("k1", "k2", "k3", "k4", "k5", "k6")
        }
        scheduler.receive(
            build_request("uncached", work_class="urgent", affinity_key=keys["t2"]), 0.0
        )
        scheduler.receive(
            build_request("cached", work_class="urgent", affinity_key=keys["t1"]), 0.0
        )
        finished = AnswerFinished(running["t1"], "t1", AnswerResult.WHOLE)
        assert get_placed(scheduler.receive(finished, 1.0)) == {placed: "t1"}

    def test_snapshot_contains_queues_and_targets(self):
        scheduler = build_scheduler(build_target("t1", concurrency=1))
        scheduler.receive(build_request("r1"), 0.0)
        scheduler.receive(build_request("r2"), 1.0)
        snapshot = scheduler.describe(3.0)
        (queue,) = snapshot.queues
        assert (queue.running, queue.waiting, queue.longest_wait) == (1, 1, 2.0)
        assert snapshot.targets[0].state is TargetState.LIVE
