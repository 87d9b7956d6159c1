import asyncio
import re
import socket

import pytest

from kingcuphead.capacity import CallerConnections
from kingcuphead.entry._caller_server import CallerServer
from kingcuphead.forwarding import RequestMemory, get_account_limit
from kingcuphead.forwarding.tests._harness import ONCE, STREAM, Harness, make_route
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.routing import CallerLimits

#: Memory of the smallest instance in bytes.
MEMORY_BYTES = 160_000_000
SLOW_CALLERS = 100
#: Latency objective of the other callers in seconds.
OBJECTIVE = 0.645
LARGE_EVENT_BYTES = 20_000
LARGE_EVENTS = 40
LARGE_BYTES = LARGE_EVENT_BYTES * LARGE_EVENTS
#: Bytes a second that reach a daemon by the fastest link, 100 Mbit/s.
LINK_BYTES_PER_SECOND = 12_500_000
#: Requests a second that reach the busiest daemons.
REQUESTS_PER_SECOND = 100
#: Small events that are sent without a pause.
SMALL_EVENTS = 3_000


class PathTarget(ScriptedTarget):
    """Answers by the path of the request: `large` or not, a stream or not."""

    #: Seconds between two blocks of a large answer.
    interval = 0.02

    async def _run_steps(self, received, reader, writer):
        self.script = [self.list_steps(received.head.split()[1])]
        return await super()._run_steps(received, reader, writer)

    def list_steps(self, path):
        match path:
            case b"/stream/large":
                return self.list_chunks(make_events())
            case b"/stream/small":
                head, end = self.stream([])
                chunks = self.list_chunks(make_small_events())[1:-1:2]
                return [head, b"".join(chunks), end]
            case b"/stream/x":
                return self.stream([1, 2])
            case b"/at_most_once/large":
                (answer,) = self.answer("200 OK", b"x" * LARGE_BYTES)
                size = LARGE_EVENT_BYTES
                blocks = [answer[at : at + size] for at in range(0, len(answer), size)]
                steps = [step for block in blocks for step in (block, self.interval)]
                # After the last block the connection may bring the next request.
                return steps[:-1]
            case _:
                return self.answer()

    def list_chunks(self, events):
        head, end = self.stream([])
        steps = [head]
        for event in events:
            steps += [b"%x\r\n%b\r\n" % (len(event), event), self.interval]
        return [*steps, end]


def make_events():
    filler = b"x" * LARGE_EVENT_BYTES
    return [b"id: %d\ndata: %b\n\n" % (n + 1, filler) for n in range(LARGE_EVENTS)]


def make_small_events():
    return [b"id: %d\ndata: %d\n\n" % (n + 1, n) for n in range(SMALL_EVENTS)]


class SlowCaller:
    """Sends a request, and doesn't read its answer before `read_all`."""

    def __init__(self, address, path, body=b"", version="HTTP/1.1"):
        self._address = address
        self._request = make_request(path, body, version)
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        self._socket.setblocking(False)

    async def send(self):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, self._address)
        await loop.sock_sendall(self._socket, self._request)

    async def read_all(self):
        """Return the answer up to its end, or that of the connection."""
        loop = asyncio.get_running_loop()
        data = bytearray()
        try:
            while not has_end(data):
                block = await loop.sock_recv(self._socket, 1_000_000)
                if not block:
                    break
                data += block
        except ConnectionError:
            pass
        return bytes(data)

    def close(self):
        self._socket.close()


def has_end(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    if length is not None:
        return len(body) >= int(length[1])
    return body.endswith(b"\r\n0\r\n\r\n")


def join_chunks(body):
    """Return the content of chunks."""
    blocks = []
    while body:
        size, _, body = body.partition(b"\r\n")
        blocks.append(body[: int(size, 16)])
        body = body[int(size, 16) + 2 :]
    return b"".join(blocks)


def make_request(path, body=b"", version="HTTP/1.1"):
    return (
        f"POST {path} {version}\r\nHost: h\r\nAttempt-Id: r1\r\nApi-Key: k\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Entrance:
    """A caller server and a forwarder with one target, in the test's event loop."""

    def __init__(self, memory, timeout=20.0):
        self.memory = memory
        self.harness = Harness(
            [make_route(kind, timeout=timeout) for kind in (STREAM, ONCE)]
        )
        self.harness.first = PathTarget("t1")
        self.harness.second = PathTarget("t2")

    async def __aenter__(self):
        await self.harness.__aenter__()
        self.server = CallerServer(
            self.harness.forwarder, self.memory, CallerConnections()
        )
        self.server.apply_limits(CallerLimits(body_bytes=4_000_000))
        self.server.listen("127.0.0.1", 0)
        (sock,) = self.server._server._sockets.values()
        # Otherwise the kernel takes megabytes for a caller that doesn't read.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        self.address = sock.getsockname()
        return self

    async def __aexit__(self, *error):
        self.server.stop_listening()
        await self.server.close()
        await self.harness.__aexit__(*error)

    async def call_until(self, seconds):
        """Send small requests for some seconds; return the longest time in s."""
        reader, writer = await asyncio.open_connection(*self.address)
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        longest = 0.0
        while (started_at := loop.time()) < end:
            self.harness.directory.record_read(0.0)
            writer.write(make_request("/stream/x"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            await reader.readuntil(b"\n\n")
            longest = max(longest, loop.time() - started_at)
            await reader.readuntil(b"0\r\n\r\n")
            await asyncio.sleep(0.02)
        writer.close()
        return longest

    async def wait_until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.02)


def run(scenario, memory, **options):
    async def main():
        async with asyncio.timeout(50), Entrance(memory, **options) as entrance:
            await scenario(entrance)

    asyncio.run(main())


def make_account(limit=None, ends=None):
    report = (lambda: None) if ends is None else (lambda: ends.append(1))
    return RequestMemory(limit or get_account_limit(MEMORY_BYTES), True, report)


class TestSlowCallers:
    @pytest.mark.parametrize("path", ["/stream/large", "/at_most_once/large"])
    def test_they_delay_no_other_caller_and_keep_within_the_memory(self, path):
        """A hundred large answers that nobody reads must not fill the process."""
        ends: list[int] = []
        memory = make_account(ends=ends)

        async def scenario(entrance):
            seconds = SLOW_CALLERS * LARGE_BYTES / LINK_BYTES_PER_SECOND
            for target in (entrance.harness.first, entrance.harness.second):
                target.interval = seconds / LARGE_EVENTS
            callers = [SlowCaller(entrance.address, path) for _ in range(SLOW_CALLERS)]
            seconds += SLOW_CALLERS / REQUESTS_PER_SECOND
            others = asyncio.create_task(entrance.call_until(seconds))
            for caller in callers:
                await caller.send()
                await asyncio.sleep(1 / REQUESTS_PER_SECOND)
            assert await others <= OBJECTIVE
            assert memory.peak <= memory.limit
            assert memory.used > memory.limit / 4
            assert ends or path == "/stream/large"
            for caller in callers:
                caller.close()
            await entrance.wait_until(lambda: memory.used == 0)

        run(scenario, memory)

    @pytest.mark.parametrize("path", ["/stream/large", "/at_most_once/large"])
    def test_an_answer_is_whole_or_visibly_broken(self, path):
        """The memory holds two of the four answers."""
        ends: list[int] = []
        memory = make_account(2 * LARGE_BYTES + LARGE_BYTES // 2, ends)

        async def scenario(entrance):
            callers = [SlowCaller(entrance.address, path) for _ in range(4)]
            for caller in callers:
                await caller.send()
                await asyncio.sleep(0.2)
            answers = await asyncio.gather(*(each.read_all() for each in callers))
            wholes = [
                each for each in answers if b" 200 " in each[:20] and has_end(each)
            ]
            assert memory.peak <= memory.limit
            assert len(wholes) + len(ends) >= len(callers)
            assert wholes
            for caller in callers:
                caller.close()

        run(scenario, memory)

    @pytest.mark.parametrize("version", ["HTTP/1.1", "HTTP/1.0"])
    @pytest.mark.parametrize("memory", [make_account(), RequestMemory()])
    @pytest.mark.parametrize(
        ("path", "events"),
        [("/stream/large", make_events()), ("/stream/small", make_small_events())],
        ids=["large", "small"],
    )
    def test_events_arrive_in_order_and_completely(self, path, events, memory, version):
        """Bytes that wait for the caller must not be overtaken, or cut off at the end.

        Only the end of the connection ends a stream with HTTP/1.0.
        """

        async def scenario(entrance):
            caller = SlowCaller(entrance.address, path, version=version)
            await caller.send()
            await asyncio.sleep(0.3)
            answer = await caller.read_all()
            _, _, body = answer.partition(b"\r\n\r\n")
            if version == "HTTP/1.1":
                body = join_chunks(body)
            assert body == b"".join(events)
            caller.close()

        run(scenario, memory)

    def test_a_target_is_done_before_a_slow_caller(self):
        """A slow caller must not occupy a place of the target."""
        memory = make_account()

        async def scenario(entrance):
            caller = SlowCaller(entrance.address, "/stream/large")
            await caller.send()
            await entrance.wait_until(lambda: len(entrance.harness.ended) == 1)
            assert entrance.server.open_requests == 1
            assert memory.used > 0
            dispatcher = entrance.harness.forwarder._dependencies.dispatcher
            assert not list(dispatcher.list_loads())
            answer = await caller.read_all()
            assert answer.count(b"\ndata: ") == LARGE_EVENTS
            await entrance.wait_until(lambda: entrance.server.open_requests == 0)
            assert memory.used == 0
            caller.close()

        run(scenario, memory)

    @pytest.mark.parametrize("memory", [make_account(), RequestMemory()])
    def test_a_ready_answer_is_delivered_after_the_deadline(self, memory):
        """Guards against a refusal that follows the answer on its connection."""

        async def scenario(entrance):
            entrance.harness.first.interval = 0.001
            caller = SlowCaller(entrance.address, "/at_most_once/large")
            await caller.send()
            await asyncio.sleep(0.6)
            answer = await caller.read_all()
            assert answer.startswith(b"HTTP/1.1 200")
            assert answer.endswith(b"\r\n\r\n" + b"x" * LARGE_BYTES)
            assert entrance.harness.ended[0][1] is None
            caller.close()

        run(scenario, memory, timeout=0.5)


class TestBodies:
    def test_a_body_without_memory_is_refused_as_not_run(self):
        memory = make_account(limit=1_000_000)

        async def scenario(entrance):
            caller = SlowCaller(entrance.address, "/at_most_once/x", bytes(1_500_000))
            await caller.send()
            answer = await caller.read_all()
            assert answer.startswith(b"HTTP/1.1 503")
            assert answer.endswith(b"memory_full\n")
            assert not entrance.harness.first.received
            assert memory.used == 0
            caller.close()

        run(scenario, memory)
