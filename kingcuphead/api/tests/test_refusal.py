import json

import pytest

from kingcuphead.api import choose_status, describe_refusal, encode_error_event
from kingcuphead.verdict import Execution, Reason, Verdict


def render_refusal(execution, retry_after, idempotent):
    verdict = Verdict(execution, Reason.QUEUE_FULL, "queue is full", retry_after)
    return describe_refusal(verdict, "r-1", idempotent=idempotent)


class TestRefusal:
    @pytest.mark.parametrize("reason", Reason)
    @pytest.mark.parametrize("execution", Execution)
    def test_every_reason_has_a_status(self, reason, execution):
        status = choose_status(Verdict(execution, reason, "x"))
        assert 400 <= status < 600

    @pytest.mark.parametrize(
        ("execution", "retry_after", "idempotent", "should_retry"),
        [
            (Execution.NOT_RUN, 0.25, False, "true"),
            (Execution.NOT_RUN, None, True, "false"),
            (Execution.NOT_RUN, 61.0, True, "false"),
            (Execution.MAY_HAVE_RUN, 1.0, False, "false"),
            (Execution.MAY_HAVE_RUN, 1.0, True, "true"),
            (Execution.RAN, 1.0, True, "false"),
        ],
    )
    def test_retry_is_offered_only_if_harmless(
        self, execution, retry_after, idempotent, should_retry
    ):
        refusal = render_refusal(execution, retry_after, idempotent)
        assert refusal.headers["x-should-retry"] == should_retry

    def test_retry_delay_is_rounded_up(self):
        headers = render_refusal(Execution.NOT_RUN, 1.2001, False).headers
        assert (headers["Retry-After"], headers["retry-after-ms"]) == ("2", "1201")

    def test_body(self):
        refusal = render_refusal(Execution.NOT_RUN, 2.0, False)
        assert refusal.headers["X-Request-Id"] == "r-1"
        assert json.loads(refusal.body)["error"] == {
            "message": "queue is full (not run)",
            "type": "rate_limit_error",
            "code": "queue_full",
            "param": None,
            "execution": "not_run",
            "reason": "queue_full",
            "request_id": "r-1",
            "retry_after": 2.0,
        }

    def test_error_event_in_a_stream(self):
        verdict = Verdict(Execution.MAY_HAVE_RUN, Reason.TARGET_FAILED, "target died")
        event = encode_error_event(verdict, "r-2")
        assert event.startswith(b"data: {") and event.endswith(b"}\n\n")
        error = json.loads(event[len("data: ") :])["error"]
        assert (error["execution"], error["request_id"]) == ("may_have_run", "r-2")
