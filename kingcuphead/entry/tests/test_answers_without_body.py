import asyncio
import contextlib

import pytest

from kingcuphead.entry.tests._fleet import CALLER_PORT, NETWORK, READINESS_PORT, Fleet
from kingcuphead.entry.tests._target import LocalTarget
from kingcuphead.platform.tests._documents import make_caller_headers

#: Answers of a target by the path of the request: status line, and further headers.
ANSWERS = {
    "/r/ok": ("200 OK", ["Content-Length: 800"]),
    "/r/no-length": ("200 OK", []),
    "/r/empty": ("204 No Content", []),
    "/r/unchanged": ("304 Not Modified", ["Content-Length: 800"]),
    "/r/missing": ("404 Not Found", ["Content-Length: 9"]),
    "/r/full": ("503 Service Unavailable", ["Not-Executed: 1", "Content-Length: 0"]),
    "/r/busy": ("429 Too Many Requests", ["Not-Executed: 1", "Content-Length: 0"]),
    "/r/moved": ("421 Misdirected Request", ["Content-Length: 0"]),
}
#: Paths of requests under which the target closes the connection.
CLOSING_PATH = "/r/close"


class ScriptedTarget(LocalTarget):
    """Answers by the path, which the header `X-Path` repeats; sends no bodies."""

    async def answer(self, headers, body, writer):
        path = headers.get("x-path", "/r/ok")
        if path == CLOSING_PATH:
            writer.transport.abort()
            return
        status, lines = ANSWERS[path]
        head = [f"HTTP/1.1 {status}", f"Attempt-Id: {headers['attempt-id']}"]
        head += ["Response-Seal: s", *lines, "", ""]
        writer.write("\r\n".join(head).encode())


def make_head(number, path, fields=None, method="HEAD", version="HTTP/1.1"):
    headers = make_caller_headers(f"{number:016x}") | {"X-Path": path} | (fields or {})
    lines = [f"{name}: {value}" for name, value in headers.items() if value]
    return "\r\n".join([f"{method} {path} {version}", *lines, "", ""]).encode()


async def read_head(reader):
    """Return the status and the headers of the next answer, which has no body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    return int(lines[0].split()[1]), headers


async def connect():
    return await asyncio.open_connection(f"{NETWORK}.1", CALLER_PORT)


class OneDaemonFleet(Fleet):
    """Starts one daemon, by HEAD requests: the targets send no bodies."""

    async def start_daemons(self, numbers=(1,)):
        self.begin_start(numbers)
        status = 0
        while status != 200:
            await asyncio.sleep(0.05)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await connect()
                writer.write(make_head(0, "/r/ok"))
                status, _ = await read_head(reader)
                writer.close()


def run(scenario):
    async def main():
        def make_targets(register):
            return [ScriptedTarget("t1", "v1", register)]

        async with asyncio.timeout(20):
            async with OneDaemonFleet(make_targets) as fleet:
                await scenario(fleet)

    asyncio.run(main())


class TestAnswersWithoutBody:
    """Guards against answers to HEAD that close the connection without a byte.

    The body of a refusal was written after the head of an answer that has none, which
    Tornado refuses: 35 of 258 requests got no answer (issue 62).
    """

    @pytest.mark.parametrize(
        ("path", "fields", "status"),
        [
            ("/r/ok", {}, 200),
            ("/r/no-length", {}, 200),
            ("/r/empty", {}, 204),
            ("/r/unchanged", {}, 304),
            ("/r/missing", {}, 404),
            ("/r/full", {}, 503),
            ("/r/busy", {}, 503),
            ("/r/moved", {}, 503),
            (CLOSING_PATH, {}, 502),
            ("/r/ok", {"Api-Key": "unknown"}, 401),
            ("/unknown", {}, 404),
            ("/r/ok", {"Deadline-Ms": "soon"}, 400),
            ("/r/ok", {"Attempt-Id": ""}, 400),
            ("/r/ok", {"Token-Counts": "99999999999,1"}, 503),
        ],
    )
    def test_the_next_request_on_the_connection_is_answered(self, path, fields, status):
        async def scenario(fleet):
            reader, writer = await connect()
            # Both arrive at once.
            writer.write(make_head(1, path, fields) + make_head(2, path, fields))
            for _ in range(2):
                answered, _ = await read_head(reader)
                assert answered == status
            writer.write(make_head(3, "/r/ok", method="GET", version="HTTP/1.0"))
            rest = await reader.read()
            assert rest.startswith(b"HTTP/1.1 ")
            writer.close()

        run(scenario)

    @pytest.mark.parametrize(
        ("path", "length"),
        [
            ("/r/ok", "800"),
            ("/r/no-length", None),
            ("/r/empty", None),
            ("/r/unchanged", "800"),
            ("/r/missing", "9"),
        ],
    )
    def test_the_length_is_that_of_the_target(self, path, length):
        """Guards against a length of 0 where an answer to GET would have a body."""

        async def scenario(fleet):
            reader, writer = await connect()
            writer.write(make_head(1, path))
            _, headers = await read_head(reader)
            assert headers.get("content-length") == length
            writer.close()

        run(scenario)

    def test_readiness_is_answered_too(self):
        async def scenario(fleet):
            reader, writer = await asyncio.open_connection(
                f"{NETWORK}.1", READINESS_PORT
            )
            writer.write(b"HEAD /api/ready HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
            for _ in range(2):
                status, _ = await read_head(reader)
                assert status in (200, 405)
            writer.close()

        run(scenario)


class TestUnexpectedErrors:
    def test_a_caller_gets_an_answer_and_keeps_the_connection(self):
        """Guards against an error that looks like a caller that has left."""

        async def scenario(fleet):
            daemon, _ = fleet.daemons[1]
            serve = daemon._forwarder.serve

            async def fail(request, caller):
                daemon._forwarder.serve = serve
                raise RuntimeError("provoked by the test")

            daemon._forwarder.serve = fail
            reader, writer = await connect()
            writer.write(make_head(1, "/r/ok") + make_head(2, "/r/ok"))
            assert (await read_head(reader))[0] == 502
            assert (await read_head(reader))[0] == 200
            writer.close()
            series = b'kingcuphead_unexpected_errors_total{answer="refused"} 1.0'
            assert series in daemon._metrics.render()

        run(scenario)
