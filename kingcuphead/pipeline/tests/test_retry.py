import pytest

from kingcuphead.pipeline._retry import exclude_target, include_history
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
    def test_arrival_remembers_what_may_have_run(self, verdicts, execution):
        arrival = ARRIVAL
        for number, verdict in enumerate(verdicts):
            arrival = exclude_target(arrival, f"runner-{number}", verdict)
        assert arrival.execution is execution
        assert len(arrival.excluded) == len(verdicts)

    def test_not_run_is_not_said_after_an_attempt_that_may_have_run(self):
        arrival = exclude_target(ARRIVAL, "runner-0", MAY_HAVE_RUN)
        last = include_history(arrival, NOT_RUN)
        assert last.execution is Execution.MAY_HAVE_RUN
        assert include_history(ARRIVAL, NOT_RUN) == NOT_RUN
