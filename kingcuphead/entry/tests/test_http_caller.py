import asyncio

from tornado.httputil import HTTPHeaders

from kingcuphead.capacity import CallerConnection
from kingcuphead.entry._http_caller import HttpCaller
from kingcuphead.forwarding import RequestMemory


class FakeStream:
    """Takes at most `room` bytes at once; keeps the others until `flush`."""

    def __init__(self):
        self.sent = b""
        self.room = 0
        self._buffer = b""
        self._futures = []

    def writing(self):
        return bool(self._buffer)

    def closed(self):
        return False

    def set_nodelay(self, value):
        pass

    def write_to_fd(self, data):
        size = min(len(data), self.room)
        self.sent += bytes(data[:size])
        return size

    def write(self, data):
        self._buffer += data
        future = asyncio.get_running_loop().create_future()
        self._futures.append(future)
        return future

    def flush(self):
        self.sent += self._buffer
        self._buffer = b""
        for future in self._futures:
            future.set_result(None)
        self._futures.clear()


class FakeConnection:
    """Sends the head and chunks as tornado does."""

    def __init__(self, stream):
        self.stream = stream

    def write_headers(self, start_line, headers, chunk):
        headers["Transfer-Encoding"] = "chunked"
        self.stream.sent += b"HEAD"

    def write(self, chunk):
        self.stream.write(chunk)

    def finish(self):
        self.stream.write(b"END")


def frame(content):
    return b"%x\r\n%b\r\n" % (len(content), content)


class TestHttpCaller:
    def run(self, scenario):
        async def main():
            stream = FakeStream()
            account = RequestMemory(1_000, covers_requests=True)
            connection = FakeConnection(stream)
            caller = HttpCaller(connection, account.open(), CallerConnection(""))  # type: ignore[arg-type]
            caller.start(200, HTTPHeaders())
            caller.send(b"first")
            await scenario(caller, stream, account)

        asyncio.run(main())

    def test_an_event_does_not_overtake_those_that_wait(self):
        """A write may be done while the event after it still waits for its callback."""

        async def scenario(caller, stream, account):
            caller.send(b"second")
            caller.send(b"third")
            stream.flush()
            stream.room = 100
            caller.send(b"fourth")
            await asyncio.sleep(0)
            stream.flush()
            caller.finish()
            stream.flush()
            events = b"".join(map(frame, (b"second", b"third", b"fourth")))
            assert stream.sent == b"HEAD" + events + b"END"

        self.run(scenario)

    def test_bytes_count_until_they_are_sent(self):
        async def scenario(caller, stream, account):
            stream.room = 4
            caller.send(b"second")
            assert account.used == len(frame(b"second")) - 4
            caller.send(b"third")
            assert account.used == len(frame(b"second") + frame(b"third")) - 4
            for _ in range(2):
                stream.flush()
                await asyncio.sleep(0)
            assert account.used == 0

        self.run(scenario)
