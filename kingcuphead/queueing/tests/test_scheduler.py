import pytest

from kingcuphead.placement import AnswerResult, SignSource, TargetState
from kingcuphead.queueing import (
    AnswerFinished,
    AnswerStarted,
    ProbeAnswered,
    TargetReported,
)
from kingcuphead.queueing.tests.factories import (
    build_request,
    build_scheduler,
    build_target,
    get_placed,
    get_rejected,
)
from kingcuphead.verdict import Execution, Reason


class TestScheduler:
    def test_waiting_request_takes_the_slot_that_frees(self):
        scheduler = build_scheduler(build_target("t1", concurrency=1))
        assert get_placed(scheduler.receive(build_request("r1"), 0.0)) == {"r1": "t1"}
        assert scheduler.receive(build_request("r2"), 0.0) == ()
        scheduler.receive(AnswerStarted("r1"), 0.1)
        finished = AnswerFinished("r1", "t1", AnswerResult.WHOLE)
        assert get_placed(scheduler.receive(finished, 0.2)) == {"r2": "t1"}

    def test_urgent_request_finds_a_slot_beside_long_work(self):
        scheduler = build_scheduler()
        for number in range(6):
            request = build_request(f"r{number}", work_class="background")
            scheduler.receive(request, 0.0)
        urgent = build_request("u", work_class="urgent", deadline=1.0)
        assert get_placed(scheduler.receive(urgent, 0.0)) == {"u": "t1"}

    def test_request_that_misses_its_deadline_is_refused_at_once(self):
        scheduler = build_scheduler(build_target("t1", concurrency=1))
        scheduler.receive(build_request("r1"), 0.0)
        late = build_request("r2", deadline=0.5)
        (rejected,) = get_rejected(scheduler.receive(late, 0.0)).values()
        assert rejected.verdict.execution is Execution.NOT_RUN
        assert rejected.verdict.reason is Reason.DEADLINE
        assert rejected.verdict.retry_after is not None

    @pytest.mark.parametrize(
        "source", [SignSource.LIST, SignSource.ANSWER, SignSource.PEER]
    )
    def test_leaving_target_gets_nothing_new(self, source):
        scheduler = build_scheduler(build_target("t1"), build_target("t2"))
        scheduler.receive(TargetReported("t1", TargetState.LEAVING, source), 0.0)
        live = TargetReported("t1", TargetState.LIVE, SignSource.LIST)
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
