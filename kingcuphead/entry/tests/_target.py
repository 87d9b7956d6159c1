"""Targets on loopback that register in the store and may crash."""

import asyncio
import contextlib
from collections import Counter

from kingcuphead.platform.tests._documents import (
    make_answer,
    make_event,
    make_head,
    make_stream_head,
    make_unframed_head,
    parse_headers,
    parse_parts,
    parse_resumption,
)

#: Seconds for which a crashed target is down.
DOWN_SECONDS = 0.4
#: Body of the request under which targets crash.
CRASHING_BODY = b"crash"
#: Seconds for which a slow target works on a request.
SLOW_SECONDS = 0.05
#: Part of a prompt under which targets crash when they begin to answer.
CRASHING_PART = "bad0"
#: Seconds that a target reads a prompt before it begins to answer.
PREFILL_SECONDS = 0.03
#: Events of a complete stream, and seconds between two of them.
STREAM_EVENTS = 6
EVENT_GAP = 0.02


class LocalTarget:
    """Serves requests until it crashes, and starts again under another name.

    Parameters
    ----------
    name
        Name of the first incarnation; later ones append their number.
    version
        Version of its software.
    register
        Called with the name, the address and the version of each incarnation that
        starts, and with the name and None when one is gone.
    """

    def __init__(self, name, version, register):
        self._base_name = name
        self._register = register
        self._starts = 0
        self.port = 0
        self._server = None
        self._writers = set()
        self._readers = {}
        self._restart = None
        self.name = ""
        self.version = version
        #: How often it crashed.
        self.crashes = 0

    async def start(self):
        self._starts += 1
        self.name = f"{self._base_name}-{self._starts}"
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )
        host, self.port = self._server.sockets[0].getsockname()
        self._register(self.name, f"{host}:{self.port}", self.version)

    def stop(self):
        if self._restart is not None:
            self._restart.cancel()
        self._disconnect()

    def leave(self):
        """End for good and remove the entry."""
        self.stop()
        self._register(self.name, None, self.version)

    def crash(self):
        """Close all connections; come back after `DOWN_SECONDS`."""
        self.crashes += 1
        self._disconnect()
        self._restart = asyncio.create_task(self._start_again(self.name))

    async def answer(self, headers, body, writer):
        """Answer one request."""
        raise NotImplementedError

    def _disconnect(self):
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _start_again(self, previous_name):
        await asyncio.sleep(DOWN_SECONDS)
        self._register(previous_name, None, self.version)
        await self.start()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._readers[writer] = reader
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                headers = parse_headers(await reader.readuntil(b"\r\n\r\n"))
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.answer(headers, body, writer)
                await writer.drain()
        self._writers.discard(writer)
        del self._readers[writer]
        writer.close()


class CrashingTarget(LocalTarget):
    """Answers every request except those with `CRASHING_BODY`, which crash it."""

    async def answer(self, headers, body, writer):
        if body == CRASHING_BODY:
            self.crash()
        else:
            writer.write(make_answer(headers["attempt-id"], b"ok"))


class OftenAnsweringTarget(CrashingTarget):
    """Answers each third try of the crashing request.

    Parameters
    ----------
    tries
        Counts the tries at all targets of the fleet.
    status
        Status of these answers.
    """

    def __init__(self, name, version, register, tries, status):
        super().__init__(name, version, register)
        self._tries = tries
        self._status = status

    async def answer(self, headers, body, writer):
        if body == CRASHING_BODY and next(self._tries) % 3 == 2:
            writer.write(make_answer(headers["attempt-id"], b"text", self._status))
            return
        await super().answer(headers, body, writer)


class OnceAnsweringTarget(CrashingTarget):
    """Answers the first try of the crashing request at any target of the fleet.

    Parameters
    ----------
    tries
        Counts the tries at all targets of the fleet.
    """

    def __init__(self, name, version, register, tries):
        super().__init__(name, version, register)
        self._tries = tries

    async def answer(self, headers, body, writer):
        if body == CRASHING_BODY and next(self._tries) == 0:
            writer.write(make_answer(headers["attempt-id"], b"ok"))
            return
        await super().answer(headers, body, writer)


class SlowlyCrashingTarget(CrashingTarget):
    """Crashes some time after it has received the crashing request.

    Parameters
    ----------
    delay
        Seconds between the request and the crash.
    """

    def __init__(self, name, version, register, delay):
        super().__init__(name, version, register)
        self._delay = delay

    async def answer(self, headers, body, writer):
        if body == CRASHING_BODY:
            await asyncio.sleep(self._delay)
        await super().answer(headers, body, writer)


class UnframedTarget(CrashingTarget):
    """Crashes within an answer without length, whose end looks like a complete one."""

    async def answer(self, headers, body, writer):
        if body == CRASHING_BODY:
            writer.write(make_unframed_head(headers["attempt-id"]) + b"half an ans")
            await writer.drain()
            writer.close()
            await writer.wait_closed()
        await super().answer(headers, body, writer)


class SlowTarget(LocalTarget):
    """Answers each request after `SLOW_SECONDS`."""

    async def answer(self, headers, body, writer):
        await asyncio.sleep(SLOW_SECONDS)
        writer.write(make_answer(headers["attempt-id"], b"ok"))


class LimitedTarget(LocalTarget):
    """Answers at once and states how many requests a second it takes.

    Parameters
    ----------
    limit
        Requests per second; None to state no limit.
    """

    def __init__(self, name, version, register, limit):
        super().__init__(name, version, register)
        self.limit = limit
        #: When each request arrived, in seconds of the event loop's clock.
        self.arrivals = []

    async def answer(self, headers, body, writer):
        self.arrivals.append(asyncio.get_running_loop().time())
        lines = [] if self.limit is None else [f"Server-Limit: {self.limit}"]
        writer.write(make_answer(headers["attempt-id"], b"ok", lines=lines))


class BrittleTarget(LocalTarget):
    """Falls over when it has to reject too many requests in a second.

    Parameters
    ----------
    rejections
        Requests that it can reject in a second; it states this in all its answers.
    slots
        Requests that it runs at once, `SLOW_SECONDS` each.
    waiting
        Requests that may wait, from `STRICT_AFTER` on; before, all others may.
    """

    #: Seconds after its start from which on few requests may wait.
    STRICT_AFTER = 1.0

    def __init__(self, name, version, register, rejections, slots, waiting):
        super().__init__(name, version, register)
        self._rejections = rejections
        self._slots = asyncio.Semaphore(slots)
        self._places = slots + waiting
        self._present = 0
        self._rejected_at = []
        self._strict_from = asyncio.get_running_loop().time() + self.STRICT_AFTER

    async def answer(self, headers, body, writer):
        request_id = headers["attempt-id"]
        lines = [f"Server-Brittle: {self._rejections}"]
        now = asyncio.get_running_loop().time()
        if self._present >= self._places and now >= self._strict_from:
            status = "503 Service Unavailable"
            writer.write(
                make_answer(request_id, b"", status, [*lines, "Not-Executed: 1"])
            )
            self._count_rejection(now)
            return
        self._present += 1
        try:
            async with self._slots:
                await asyncio.sleep(SLOW_SECONDS)
        finally:
            self._present -= 1
        writer.write(make_answer(request_id, b"ok", lines=lines))

    def _count_rejection(self, now):
        recent = [each for each in self._rejected_at if now - each < 1.0]
        self._rejected_at = [*recent, now]
        if len(self._rejected_at) > self._rejections:
            self._rejected_at = []
            self.crash()


class RepeatingTarget(LocalTarget):
    """Refuses the first request of a connection, and writes a refusal again.

    Each later request of the connection is run, with a refusal ahead of its answer.

    Parameters
    ----------
    status
        Status of the refusals that are written again.
    make_lines
        Returns their headers, called with the id of the request that was refused and
        with that of the request that runs.
    """

    def __init__(self, name, version, register, status, make_lines):
        super().__init__(name, version, register)
        self._status = status
        self._make_lines = make_lines
        self._refused = {}
        #: How often each request was run, by its id.
        self.runs: Counter[str] = Counter()

    async def answer(self, headers, body, writer):
        request_id = headers["attempt-id"]
        if writer not in self._refused:
            self._refused[writer] = request_id
            lines = [f"Attempt-Id: {request_id}", "Not-Executed: 1"]
            writer.write(make_head("503 Busy", lines))
            return
        self.runs[request_id] += 1
        lines = self._make_lines(self._refused[writer], request_id)
        writer.write(make_head(self._status, lines) + make_answer(request_id, b"ok"))


class UnstatedTarget(LocalTarget):
    """Runs each request and answers with a status that callers take for a refusal."""

    def __init__(self, name, version, register, status):
        super().__init__(name, version, register)
        self._status = status
        #: How often each request was run, by its id.
        self.runs: Counter[str] = Counter()

    async def answer(self, headers, body, writer):
        self.runs[headers["attempt-id"]] += 1
        writer.write(make_answer(headers["attempt-id"], b"busy", self._status))


class StreamingTarget(LocalTarget):
    """Answers with a stream whose events carry the version of the target."""

    async def answer(self, headers, body, writer):
        writer.write(make_stream_head(headers["attempt-id"]))
        first = parse_resumption(headers) + 1
        for event_id in range(first, STREAM_EVENTS + 1):
            writer.write(make_event(event_id, self.version))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP)
        writer.write(b"0\r\n\r\n")


class BreakingTarget(StreamingTarget):
    """Breaks streams off after two events, and answers a resumed one with bytes.

    A request with a body gets a whole stream.

    Parameters
    ----------
    rest
        Bytes of the answer to a request that resumes a stream, with `@id` for its id;
        the connection closes after them.
    """

    def __init__(self, name, version, register, rest=b""):
        super().__init__(name, version, register)
        self._rest = rest
        #: Number of requests that resumed a stream.
        self.resumptions = 0

    async def answer(self, headers, body, writer):
        request_id = headers["attempt-id"]
        if body:
            await super().answer(headers, body, writer)
            return
        if parse_resumption(headers):
            self.resumptions += 1
            writer.write(self._rest.replace(b"@id", request_id.encode()))
            await writer.drain()
            writer.close()
            return
        writer.write(make_stream_head(request_id))
        for event_id in (1, 2):
            writer.write(make_event(event_id, self.version))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP)
        writer.transport.abort()


class PromptTarget(StreamingTarget):
    """Streams, and crashes when it begins to answer on a certain part of a prompt."""

    async def answer(self, headers, body, writer):
        await asyncio.sleep(PREFILL_SECONDS)
        if CRASHING_PART not in parse_parts(headers):
            await super().answer(headers, body, writer)
            return
        writer.write(make_stream_head(headers["attempt-id"]))
        await writer.drain()
        self.crash()


class ClosingTarget(LocalTarget):
    """Answers after `SLOW_SECONDS` and closes the connection; counts the runs.

    Attributes
    ----------
    runs
        How often each request was run, by its id.
    abandoned
        Number of requests whose connection was closed while they ran.
    """

    def __init__(self, name, version, register):
        super().__init__(name, version, register)
        self.runs: Counter[str] = Counter()
        self.abandoned = 0

    async def answer(self, headers, body, writer):
        request_id = headers["attempt-id"]
        self.runs[request_id] += 1
        await asyncio.sleep(float(body) if body[:1].isdigit() else SLOW_SECONDS)
        if self._readers[writer].at_eof():
            self.abandoned += 1
            return
        lines = ["Connection: close"]
        writer.write(make_answer(request_id, b"ok", lines=lines))
        await writer.drain()
        writer.close()
