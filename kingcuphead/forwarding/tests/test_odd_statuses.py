import pytest

from kingcuphead.forwarding import PromptSize
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    ONCE,
    STREAM,
    make_request,
    make_route,
    run,
)
from kingcuphead.verdict import Reason

FRAMINGS = {
    "length": b"Content-Length: 4\r\n\r\ntext",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
    "unframed": b"\r\ntext",
    "nothing": b"\r\n",
}


def make_steps(harness, status, framing, is_followed):
    """Return the steps of an answer with an odd status, perhaps before a sound one."""
    head = f"HTTP/1.1 {status} X\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n"
    steps = [head.encode() + FRAMINGS[framing]]
    if is_followed:
        return [*steps, *harness.first.answer()]
    return (
        [*steps, harness.first.CLOSE] if framing in ("unframed", "nothing") else steps
    )


class TestOddStatuses:
    """Guards against answers of a target in trouble that callers get as answers.

    And against requests that wait until their deadline for the rest of such an answer.
    """

    @pytest.mark.parametrize("status", ["000", "099", "600", "999", "101"])
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("is_followed", [False, True])
    @pytest.mark.parametrize("kind", [ONCE, STREAM])
    def test_a_request_that_runs_once_fails_at_once(
        self, status, framing, is_followed, kind
    ):
        async def scenario(harness):
            steps = make_steps(harness, status, framing, is_followed)
            harness.first.script = [steps]
            request = make_request(kind, PromptSize(10, 10, ()))
            caller, refusal = await harness.serve(request)
            assert (refusal.status, refusal.reason) == (502, Reason.TARGET_FAILED)
            assert not caller.is_started

        run([make_route(kind)], scenario)

    @pytest.mark.parametrize("status", ["000", "600", "101"])
    def test_one_that_may_run_again_goes_to_another_target(self, status):
        async def scenario(harness):
            harness.first.script = [make_steps(harness, status, "length", True)]
            harness.second.script = [harness.second.answer(body=b"sound")]
            caller, refusal = await harness.serve(make_request(IDEMPOTENT))
            assert (refusal, caller.body) == (None, b"sound")

        run([make_route(IDEMPOTENT)], scenario)

    def test_informational_answers_are_still_dropped(self):
        async def scenario(harness):
            steps = [b"HTTP/1.1 103 Early Hints\r\n\r\n", *harness.first.answer()]
            harness.first.script = [steps]
            caller, refusal = await harness.serve(make_request(ONCE))
            assert (refusal, caller.body) == (None, b"whole")

        run([make_route(ONCE)], scenario)
