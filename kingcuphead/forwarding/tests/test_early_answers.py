"""Answers that begin, and end, before the target has received the request."""

import asyncio
import contextlib
import socket
import struct

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

#: Bytes that fit neither into the daemon's buffers nor into the kernel's.
LONG_UPLOAD = 12 * 1024 * 1024
#: Bytes that fit into both.
SHORT_UPLOAD = 20_000
#: Seconds from the end of the answer to the reset.
RESET_DELAY = 0.02
EVENTS = b"id: 1\ndata: a\n\n"
RESET = struct.pack("ii", 1, 0)


class EarlyTarget:
    """Answers a request as soon as its head is there.

    Parameters
    ----------
    parts
        Parts of the answer, with `@id` for the request's id.
    read_before, read_after
        Bytes of the request that it reads before the answer, and after it; None for
        all of them.
    ends_first
        Whether it ends its own direction `RESET_DELAY` before it resets the connection.
    resets
        Whether it resets the connection; it closes it otherwise.
    pause
        Seconds from the answer to its end.
    """

    def __init__(
        self,
        parts,
        read_before=0,
        read_after=0,
        ends_first=True,
        resets=True,
        pause=0.0,
    ):
        self.parts = parts
        self.read_before, self.read_after = read_before, read_after
        self.ends_first, self.resets = ends_first, resets
        self.pause = pause

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        size = int(fields.get(b"content-length", 0))
        await self._read(reader, size, self.read_before)
        for part in self.parts:
            writer.write(part.replace(b"@id", fields[b"attempt-id"]))
        await writer.drain()
        await asyncio.sleep(self.pause)
        if self.ends_first:
            writer.write_eof()
            await asyncio.sleep(RESET_DELAY)
        await self._read(reader, size, self.read_after)
        if self.resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort() if self.resets else writer.close()

    async def _read(self, reader, size, count):
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readexactly(size if count is None else count)


def make_answer(*lines):
    return [
        "\r\n".join(
            ["HTTP/1.1 200 OK", "Attempt-Id: @id", "Response-Seal: s", *lines, "", ""]
        ).encode()
    ]


UNFRAMED = [*make_answer(), b"a part"]
UNFRAMED_STREAM = [*make_answer("Content-Type: text/event-stream"), EVENTS]


def play(kind, target, upload, resumable=False):
    """Return what the caller got of the answer to an upload, and the refusal."""
    results = []

    async def scenario(harness):
        for scripted in (harness.first, harness.second):
            scripted._serve = target.serve
            scripted._server.close()
            list(harness.directory.put(await scripted.start()))
        size = PromptSize(10, 10, ()) if kind is STREAM else None
        request = make_request(kind, size, body=b"x" * upload)
        results.append(await harness.serve(request))

    run([make_route(kind, resumable=resumable)], scenario)
    return results[0]


class TestEndsBeforeTheUpload:
    """Guards against a part of an answer that is passed on as a complete one."""

    @pytest.mark.parametrize("kind", [IDEMPOTENT, ONCE])
    @pytest.mark.parametrize("read_before", [0, 65_536])
    @pytest.mark.parametrize("ends_first", [True, False])
    @pytest.mark.parametrize("pause", [0.0, 0.05])
    def test_an_answer_without_length_is_not_complete(
        self, kind, read_before, ends_first, pause
    ):
        target = EarlyTarget(
            UNFRAMED, read_before=read_before, ends_first=ends_first, pause=pause
        )
        caller, refusal = play(kind, target, LONG_UPLOAD)
        assert (refusal.status, refusal.reason) == (502, Reason.TARGET_FAILED)
        assert caller.body == b""

    @pytest.mark.parametrize("resumable", [True, False])
    def test_nor_is_a_stream_without_length(self, resumable):
        target = EarlyTarget(UNFRAMED_STREAM)
        caller, _ = play(STREAM, target, LONG_UPLOAD, resumable)
        assert caller.end != "finished"

    def test_nor_one_that_ends_without_a_reset(self):
        """The target has closed the connection, so it can't have read the request."""
        target = EarlyTarget(UNFRAMED, resets=False)
        _, refusal = play(ONCE, target, LONG_UPLOAD)
        assert refusal.status == 502

    def test_an_answer_with_a_length_is_complete_without_the_rest_of_the_upload(self):
        target = EarlyTarget([*make_answer("Content-Length: 5"), b"whole"])
        caller, refusal = play(ONCE, target, LONG_UPLOAD)
        assert (refusal, caller.status, caller.body) == (None, 200, b"whole")

    def test_nor_does_such_an_answer_look_complete_before_its_end(self):
        target = EarlyTarget([*make_answer("Content-Length: 9"), b"a part"])
        _, refusal = play(ONCE, target, LONG_UPLOAD)
        assert refusal.status == 502


class TestEndsAfterTheUpload:
    """Guards against sound answers that are taken for broken ones."""

    @pytest.mark.parametrize("upload", [0, SHORT_UPLOAD, LONG_UPLOAD])
    @pytest.mark.parametrize("ends_first", [True, False])
    def test_an_answer_without_length_is_complete(self, upload, ends_first):
        target = EarlyTarget(
            UNFRAMED, read_before=None, ends_first=ends_first, resets=False
        )
        caller, refusal = play(ONCE, target, upload)
        assert (refusal, caller.status, caller.body) == (None, 200, b"a part")

    def test_so_is_a_stream_without_length(self):
        target = EarlyTarget(UNFRAMED_STREAM, read_before=None, resets=False)
        caller, refusal = play(STREAM, target, SHORT_UPLOAD)
        assert (refusal, caller.end) == (None, "finished")
        assert EVENTS in caller.body
