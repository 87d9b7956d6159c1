import pytest

from kingcuphead.verdict import Execution, Reason, Verdict


class TestVerdict:
    @pytest.mark.parametrize(
        ("execution", "suffix"),
        [
            (Execution.NOT_RUN, "(not run)"),
            (Execution.MAY_HAVE_RUN, "(may have run)"),
            (Execution.RAN, "(ran)"),
        ],
    )
    def test_message_includes_the_execution_status(self, execution, suffix):
        verdict = Verdict(execution, Reason.NO_TARGET, "no target is ready")
        assert verdict.message == f"no target is ready {suffix}"

    def test_with_changes_leaves_the_original_unchanged(self):
        verdict = Verdict(Execution.NOT_RUN, Reason.DEADLINE, "too late")
        changed = verdict.with_changes(retry_after=2.0)
        assert (verdict.retry_after, changed.retry_after) == (None, 2.0)
