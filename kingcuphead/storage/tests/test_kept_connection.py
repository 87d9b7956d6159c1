import asyncio
import gzip
import time

import pytest

from kingcuphead.storage import KeptConnection, NotSent, PlatformSettings, Replied

#: Seconds until a read of these tests must have ended.
TIMEOUT = 0.5


class RawPlatform:
    """Answers each request with scripted bytes, and counts connections.

    Parameters
    ----------
    replies
        Bytes of each reply, in order; None to close the connection instead.
    closes
        Whether the connection is closed after each reply without notice.
    """

    def __init__(self, *replies, closes=False):
        self._replies = list(replies)
        self._closes = closes
        self.connections = 0
        self.requests = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.client = KeptConnection(PlatformSettings(url=f"http://127.0.0.1:{port}"))
        return self

    async def __aexit__(self, *error):
        self.client.close()
        self._server.close()

    async def read(self):
        return await self.client.get("/api/rows", {"table": "t 1"}, TIMEOUT)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while self._replies:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                reply = self._replies.pop(0)
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
                if self._closes:
                    break
            else:
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class SlowPlatform(RawPlatform):
    """Sends a reply in five parts, with a pause in seconds before all but the first."""

    def __init__(self, reply, pause):
        super().__init__(reply)
        self._pause = pause

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        (reply,) = self._replies
        head = len(reply) - 40
        writer.write(reply[:head])
        for start in range(head, len(reply), 10):
            await asyncio.sleep(self._pause)
            writer.write(reply[start : start + 10])
            await writer.drain()


def make_reply(body, *headers, version="1.1", status="200 OK"):
    lines = [f"HTTP/{version} {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


def play(platform, reads):
    """Return the replies to some reads, one after the other."""

    async def run():
        async with platform:
            return [await platform.read() for _ in range(reads)]

    return asyncio.run(run())


class TestSurplus:
    """Guards against a reply that counts for the read after its own.

    Each later read would get the reply of the one before.
    """

    @pytest.mark.parametrize("pause", [0.0, 0.05])
    def test_bytes_after_a_reply_belong_to_no_read(self, pause):
        reply = make_reply(b"one")
        platform = RawPlatform(reply + reply, make_reply(b"two"), make_reply(b"three"))

        async def run():
            async with platform:
                bodies = []
                for _ in range(3):
                    bodies.append((await platform.read()).body)
                    await asyncio.sleep(pause)
                return bodies

        assert asyncio.run(run()) == [b"one", b"two", b"three"]
        assert platform.connections == 2


class TestReuse:
    def test_reads_share_a_connection(self):
        platform = RawPlatform(make_reply(b"one"), make_reply(b"two"))
        replies = play(platform, 2)
        assert [reply.body for reply in replies] == [b"one", b"two"]
        assert platform.connections == 1
        assert platform.requests[0].startswith(b"GET /api/rows?table=t+1 HTTP/1.1\r\n")

    @pytest.mark.parametrize(
        ("headers", "version"), [(("Connection: close",), "1.1"), ((), "1.0")]
    )
    def test_a_connection_that_the_platform_ends_is_not_used_again(
        self, headers, version
    ):
        replies = [make_reply(b"x", *headers, version=version) for _ in range(2)]
        platform = RawPlatform(*replies)
        assert [reply.body for reply in play(platform, 2)] == [b"x", b"x"]
        assert platform.connections == 2

    @pytest.mark.parametrize("is_closed_at_once", [False, True])
    def test_a_read_is_repeated_if_the_connection_had_ended(self, is_closed_at_once):
        """Guards against a store that seems lost whenever it closes a connection."""
        if is_closed_at_once:
            platform = RawPlatform(make_reply(b"1"), make_reply(b"2"), closes=True)
        else:
            platform = RawPlatform(make_reply(b"1"), None, make_reply(b"2"))
        assert [reply.body for reply in play(platform, 2)] == [b"1", b"2"]
        assert platform.connections == 2


class TestFaults:
    @pytest.mark.parametrize(
        "reply",
        [
            None,
            b"nonsense\r\n\r\n",
            make_reply(b"refused", status="503 Service Unavailable"),
            make_reply(b"complete")[:-1],
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        ],
    )
    def test_a_reply_that_is_missing_or_cut_short_is_a_fault(self, reply):
        (fault,) = play(RawPlatform(reply, closes=True), 1)
        assert isinstance(fault, NotSent)

    def test_a_reply_that_does_not_come_ends_with_its_timeout(self):
        """Guards against a late reply that is taken for that of the next read."""

        async def run():
            async with RawPlatform(b"", make_reply(b"new")) as platform:
                started_at = asyncio.get_running_loop().time()
                first = await platform.read()
                seconds = asyncio.get_running_loop().time() - started_at
                return first, await platform.read(), seconds, platform.connections

        first, second, seconds, connections = asyncio.run(run())
        assert isinstance(first, NotSent)
        assert seconds >= TIMEOUT
        assert second.body == b"new"
        assert connections == 2

    @pytest.mark.parametrize(
        ("pause", "is_read"), [(TIMEOUT / 2, True), (3 * TIMEOUT, False)]
    )
    def test_only_a_reply_that_stops_is_given_up(self, pause, is_read):
        """Guards against slow replies that are thrown away and begun again."""

        async def run():
            async with SlowPlatform(make_reply(b"x" * 40), pause) as platform:
                return await platform.read()

        reply = asyncio.run(run())
        assert isinstance(reply, Replied) is is_read

    def test_a_reply_that_a_late_event_loop_has_not_seen_is_read(self):
        """Guards against a busy daemon that takes the platform for silent."""

        async def keep_busy():
            while True:
                time.sleep(TIMEOUT / 2)
                await asyncio.sleep(0)

        async def run():
            async with RawPlatform(make_reply(b"new"), make_reply(b"new")) as platform:
                await platform.read()
                busy = asyncio.create_task(keep_busy())
                try:
                    return await platform.read()
                finally:
                    busy.cancel()

        reply = asyncio.run(run())
        assert isinstance(reply, Replied)

    def test_a_read_that_is_cancelled_leaves_no_connection(self):
        async def run():
            async with RawPlatform(b"", make_reply(b"new")) as platform:
                task = asyncio.create_task(platform.read())
                await asyncio.sleep(TIMEOUT / 5)
                task.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await task
                reply = await platform.read()
                return reply.body, platform.connections

        assert asyncio.run(run()) == (b"new", 2)

    def test_an_unreachable_platform_is_a_fault(self):
        connection = KeptConnection(PlatformSettings(url="http://127.0.0.1:1"))
        reply = asyncio.run(connection.get("/", {}, TIMEOUT))
        assert isinstance(reply, NotSent)

    def test_a_compressed_reply_is_decompressed(self):
        reply = make_reply(gzip.compress(b"long"), "Content-Encoding: gzip")
        assert play(RawPlatform(reply), 1)[0].body == b"long"
