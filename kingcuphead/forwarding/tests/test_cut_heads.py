"""Targets that end their connection within the head of an answer, at each length."""

import itertools

import pytest

from kingcuphead.forwarding import _connection
from kingcuphead.forwarding._target_stream import open_stream
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    ONCE,
    STREAM,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget

COMMON = b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n"
HEADS = {
    "with a length": COMMON + b"Content-Length: 5\r\n\r\n",
    "chunked": COMMON + b"Transfer-Encoding: chunked\r\n\r\n",
    "unframed": COMMON + b"\r\n",
    "stream": COMMON
    + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    "unframed stream": COMMON + b"Content-Type: text/event-stream\r\n\r\n",
    "of HTTP/1.0": b"HTTP/1.0 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n\r\n",
}
#: Bytes between two lengths; the first lines are cut at each byte.
STEP, EACH_BYTE_UNTIL = 4, 24
#: Status that promises nothing.
BAD_GATEWAY = 502


def list_cuts(head):
    return (*range(EACH_BYTE_UNTIL), *range(EACH_BYTE_UNTIL, len(head), STEP))


async def send(harness, kind, number, head, end, resume_after):
    """Send a request whose targets cut all their answers; return what came."""
    for target in (harness.first, harness.second):
        target.script = [[head, 0.002, end]]
    request = make_request(kind, request_id=f"r{number}", resume_after=resume_after)
    return await harness.serve(request)


@pytest.mark.parametrize("end", [ScriptedTarget.CLOSE, ScriptedTarget.RESET])
@pytest.mark.parametrize("name", HEADS)
class TestCutHeads:
    """Guards against a success with an empty or short body that looks complete."""

    @pytest.mark.parametrize(
        ("kind", "resume_after"),
        [(IDEMPOTENT, 0), (ONCE, 0), (STREAM, 0), (STREAM, 3)],
        ids=["idempotent", "at most once", "stream", "taken up"],
    )
    def test_no_success_and_no_promise_follows(self, name, end, kind, resume_after):
        head = HEADS[name]

        async def scenario(harness):
            # The service has one version, at which streams may go on.
            await harness.resumption.synchronise()
            for number, cut in enumerate(list_cuts(head)):
                caller, refusal = await send(
                    harness, kind, number, head[:cut], end, resume_after
                )
                assert not caller.is_started, cut
                assert refusal.status == BAD_GATEWAY, cut

        run([make_route(kind, attempts=1, resumable=True)], scenario)

    def test_nor_within_a_stream_that_has_begun(self, name, end):
        """The target that goes on with a stream cuts the head of its answer."""
        head = HEADS[name]
        ends = []

        async def scenario(harness):
            for number, cut in enumerate(itertools.islice(list_cuts(head), 0, None, 3)):
                begun = harness.first.stream([1, 2], is_complete=False)
                harness.first.script = [[*begun, 0.002, ScriptedTarget.RESET]]
                harness.second.script = [[head[:cut], 0.002, end]]
                request = make_request(STREAM, request_id=f"r{number}")
                caller, refusal = await harness.serve(request)
                # A target that has failed often may not be tried again.
                is_aborted = (caller.end, refusal) == ("aborted", None)
                assert is_aborted or refusal.status == BAD_GATEWAY, cut
                ends.append(is_aborted)

        run([make_route(STREAM, resumable=True)], scenario)
        assert sum(ends) > len(ends) / 2

    def test_nor_through_another_daemon(self, name, end, monkeypatch):
        """A close that a helper passes on looks the same as a close of the helper."""
        head = HEADS[name]
        monkeypatch.setattr(
            _connection, "open_stream", lambda: open_stream(is_tunnel=True)
        )

        async def scenario(harness):
            for number, cut in enumerate(list_cuts(head)):
                caller, refusal = await send(
                    harness, IDEMPOTENT, number, head[:cut], end, 0
                )
                assert not caller.is_started, cut
                assert refusal.status == BAD_GATEWAY, cut

        run([make_route(IDEMPOTENT, attempts=1)], scenario)
