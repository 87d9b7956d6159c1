import pytest

from kingcuphead.pipeline._retry import exclude_target, include_earlier_attempts
from kingcuphead.queueing import RequestArrived
from kingcuphead.verdict import Execution, Reason, Verdict

NOT_RUN = Verdict(Execution.NOT_RUN, Reason.INVALID_REQUEST, "detail")
MAY_HAVE_RUN = Verdict(Execution.MAY_HAVE_RUN, Reason.TARGET_FAILED, "detail")
ARRIVAL = RequestArrived("r#1", "atlas", "short", "runners", "large", 10, 5.0)


class TestRetry:
    @pytest.mark.parametrize(
        ("verdicts", "execution"),
        [
            ((NOT_RUN,), Execution.NOT_RUN),
            ((MAY_HAVE_RUN,), Execution.MAY_HAVE_RUN),
            ((MAY_HAVE_RUN, NOT_RUN), Execution.MAY_HAVE_RUN),
        ],
    )
    def test_arrival_records_that_an_attempt_may_have_run(self, verdicts, execution):
        arrival = ARRIVAL
        for number, verdict in enumerate(verdicts):
            arrival = exclude_target(arrival, f"runner-{number}", verdict)
        assert arrival.execution is execution
        assert len(arrival.excluded) == len(verdicts)

    def test_verdict_includes_an_earlier_attempt_that_may_have_run(self):
        arrival = exclude_target(ARRIVAL, "runner-0", MAY_HAVE_RUN)
        last = include_earlier_attempts(arrival, NOT_RUN)
        assert last.execution is Execution.MAY_HAVE_RUN
        assert include_earlier_attempts(ARRIVAL, NOT_RUN) == NOT_RUN
