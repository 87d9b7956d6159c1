import pytest

from kingcuphead.verdict import Execution, Reason, Verdict


class TestVerdict:
    @pytest.mark.parametrize(
        ("execution", "words"),
        [
            (Execution.NOT_RUN, "(not run)"),
            (Execution.MAY_HAVE_RUN, "(may have run)"),
            (Execution.RAN, "(ran)"),
        ],
    )
    def test_message_states_execution(self, execution, words):
        verdict = Verdict(execution, Reason.NO_TARGET, "no target is ready")
        assert verdict.message == f"no target is ready {words}"

    def test_with_changes_keeps_the_original(self):
        verdict = Verdict(Execution.NOT_RUN, Reason.DEADLINE, "too late")
        changed = verdict.with_changes(retry_after=2.0)
        assert (verdict.retry_after, changed.retry_after) == (None, 2.0)
