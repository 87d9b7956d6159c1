import asyncio
import base64
import json
import time

from kingcuphead.entry._store_watches import CONFIGURATION_POLICY
from kingcuphead.entry._table_watch import TableWatch
from kingcuphead.platform import Store

#: Bytes of a reply with two large versions, and seconds that a narrow link needs.
REPLY_BYTES, REPLY_SECONDS = 800_000, 1.6
#: Parts in which a reply arrives.
PARTS = 40
#: Seconds within which a version is in force, from its writing.
APPLY_SECONDS = 3.0


class NarrowStore:
    """Answers the first poll with two large versions over a narrow link."""

    def __init__(self):
        self.sent_bytes = 0
        self.polled_at = 0.0
        self.applied_at = 0.0

    def apply_snapshot(self, rows):
        if any(row.version == 3 for row in rows):
            self.applied_at = self.applied_at or time.monotonic()

    def apply_changes(self, changes):
        if changes:
            self.applied_at = self.applied_at or time.monotonic()

    async def serve(self, reader, writer):
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                await self._answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, request, writer):
        is_poll = request.startswith(b"GET /api/rows-feed")
        has_changes = bool(self.polled_at)
        if not is_poll and not has_changes:
            rows = [self._make_row(1, "")]
            await self._send(writer, {"rows": rows, "ver": 1}, 1)
            return
        self.polled_at = self.polled_at or time.monotonic()
        if b"start_after=3" in request:
            await asyncio.sleep(1.0)
            await self._send(writer, {"rows": [], "ver": 3}, 1)
            return
        content = "x" * (REPLY_BYTES // 2)
        rows = [self._make_row(each, content) for each in (2, 3)]
        await self._send(writer, {"rows": rows, "ver": 3}, PARTS)

    def _make_row(self, version, content):
        value = base64.b64encode(b"{}").decode()
        return {"table": "op", "key": f"k{content}", "ver": version, "value": value}

    async def _send(self, writer, content, parts):
        body = json.dumps(content).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode())
        size = len(body) // parts + 1
        for start in range(0, len(body), size):
            if parts > 1:
                await asyncio.sleep(REPLY_SECONDS / parts)
            part = body[start : start + size]
            self.sent_bytes += len(part)
            writer.write(part)
            await writer.drain()


class TestSlowReplies:
    def test_a_large_version_is_in_force_in_time_and_read_once(self):
        """Guards against slow replies that are taken for lost ones and begun again."""

        async def main():
            narrow = NarrowStore()
            server = await asyncio.start_server(narrow.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            store = Store(f"127.0.0.1:{port}")
            watch = TableWatch(
                store, "op", narrow, lambda at: None, policy=CONFIGURATION_POLICY
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(APPLY_SECONDS + 0.2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            store.close()
            server.close()
            return narrow

        narrow = asyncio.run(main())
        assert narrow.applied_at
        assert narrow.applied_at - narrow.polled_at <= APPLY_SECONDS
        assert narrow.sent_bytes <= 1.1 * REPLY_BYTES
