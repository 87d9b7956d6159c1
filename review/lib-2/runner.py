"""A runner: serves requests on one address, and crashes under marked ones if told so.

Each line on standard output says what it does: `runs ID`, `ends ID`, `drops ID`.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from fleet import read_message  # noqa: E402


def say(text):
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


class Server:
    def __init__(self, name, options):
        self._name = name
        self._work = options.get("work_s", 0.06)
        self._crash_marker = options.get("crash_marker", "").encode()
        self._crash_after = options.get("crash_after_s", 0.0)
        # Events of a stream, and the seconds between them.
        self._events = options.get("events", 0)
        self._gap = options.get("gap_s", 0.25)

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            if not await self._answer(message, reader, writer):
                break
        writer.close()

    async def _answer(self, message, reader, writer):
        line, headers, body = message
        path = line.split(" ")[1]
        if path == "/health":
            await self._send(writer, 200, {"Instance-Id": self._name}, b"ok")
            return True
        identity = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self._name)
        if expected != self._name:
            say(f"isn't {expected}: 421 {identity}")
            await self._send(
                writer, 421, {"Attempt-Id": identity, "Instance-Id": self._name}, b""
            )
            return True
        say(f"runs {identity}")
        if self._crash_marker and self._crash_marker in body and not self._events:
            await asyncio.sleep(self._crash_after)
            say(f"crashes under {identity}")
            os._exit(70)
        if self._events and "token-counts" in headers:
            return await self._stream(identity, headers, reader, writer, body)
        await asyncio.sleep(self._work)
        say(f"ends {identity}")
        seal = f"seal.{self._name}.{identity}"
        await self._send(
            writer,
            200,
            {"Attempt-Id": identity, "Response-Seal": seal},
            f"answer of {self._name} to {identity}\n".encode(),
        )
        return True

    async def _stream(self, identity, headers, reader, writer, body=b""):
        marked = self._crash_marker and self._crash_marker in body
        """Send events until the end, or until the connection closes."""
        first = int(headers.get("last-event-id", 0)) + 1
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Weight-Versions: 1\r\nAttempt-Id: %b\r\nResponse-Seal: seal.%b.%b\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            % (identity.encode(), self._name.encode(), identity.encode())
        )
        closed = asyncio.ensure_future(reader.read(1))
        for number in range(first, self._events + 1):
            event = b"id: %d\ndata: %b.%d\n\n" % (number, identity.encode(), number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.wait((closed,), timeout=self._gap)
            if marked and number - first >= self._crash_after / self._gap:
                say(f"crashes under {identity}")
                os._exit(70)
            if closed.done():
                closed.exception()
                say(f"drops {identity}")
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        say(f"ends {identity}")
        closed.cancel()
        # The next request begins on a connection of its own.
        return False

    async def _send(self, writer, status, headers, body):
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(
            f"HTTP/1.1 {status} X\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()


async def main(address, name, options):
    host, _, port = address.rpartition(":")
    server = Server(name, options)
    listener = await asyncio.start_server(
        server.serve, host, int(port), reuse_address=True
    )
    say("listens")
    async with listener:
        await listener.serve_forever()


asyncio.run(main(sys.argv[1], sys.argv[2], json.loads(sys.argv[3])))
