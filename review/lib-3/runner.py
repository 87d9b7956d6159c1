"""Stand-in of a runner: one process, which serves requests until it is ended.

It prints a JSON line for each run (`run`, `end`) and one when it listens (`ready`). It
ends when its standard input closes, so that it never outlives the script.
"""

import argparse
import asyncio
import json
import os
import sys
import time
import zlib

#: Paths whose requests a runner of mode `both` answers by a stream.
STREAM_PREFIX = "/plan/"
#: Paths whose requests take long.
LONG_PREFIX = "/report/"
#: Seconds between two events of a stream.
EVENT_GAP = 0.04


def say(**fields):
    fields["at"] = round(time.monotonic(), 4)
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def draw(text, below):
    """Return a number that depends on a text only."""
    return zlib.crc32(text.encode()) % below


class Runner:
    def __init__(self, options):
        self.options = options
        self.running = 0

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        method, path, _ = head[0].split(" ", 2)
        headers = {}
        for line in filter(None, head[1:]):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        own_id = self.options.id
        request_id = headers.get("attempt-id", "")
        if not request_id:
            await self.answer(writer, 200, b"{}", [f"Instance-Id: {own_id}"])
            return True
        expected = headers.get("expect-instance", own_id)
        if expected != own_id:
            lines = [f"Instance-Id: {own_id}", f"Attempt-Id: {request_id}"]
            await self.answer(writer, 421, b"", lines)
            return True
        counts = headers.get("token-counts", "0").split(",")
        is_too_large = sum(map(int, counts)) > self.options.memory
        if self.running >= self.options.slots or is_too_large:
            say(refused=request_id, id=own_id)
            lines = ["Not-Executed: 1", f"Attempt-Id: {request_id}"]
            await self.answer(writer, 503, b"", lines)
            return True
        if self.options.crash_body and body == self.options.crash_body.encode():
            # It crashes each runner that begins to run it.
            say(run=request_id, id=own_id, crashes=True)
            os._exit(70)
        self.running += 1
        try:
            return await self.run(writer, request_id, headers, path, method)
        finally:
            self.running -= 1

    async def run(self, writer, request_id, headers, path, method):
        is_stream = path.startswith(STREAM_PREFIX)
        if self.options.mode == "stream" or self.options.mode == "both" and is_stream:
            return await self.stream(writer, request_id, headers)
        return await self.whole(writer, request_id, headers, path, method)

    async def whole(self, writer, request_id, headers, path, method):
        """Answer as a whole; a generation uses up its output tokens."""
        prompt, output = 0, 0
        if "token-counts" in headers:
            prompt, output = map(int, headers["token-counts"].split(","))
        say(run=request_id, id=self.options.id, tenant=headers.get("tenant", ""))
        is_long = path.startswith(LONG_PREFIX)
        work_ms = self.options.long_ms if is_long else self.options.work_ms
        await asyncio.sleep(work_ms / 1000)
        body = b"word" * max(1, output)
        lines = [f"Attempt-Id: {request_id}", f"Response-Seal: s.{len(body):x}"]
        say(end=request_id, id=self.options.id, prompt=prompt, output=output)
        await self.answer(writer, 200, body, lines, method)
        return True

    async def stream(self, writer, request_id, headers):
        """Answer by a stream of events; a part of the answers has no length."""
        last = int(headers.get("last-event-id", 0))
        events = 20 + draw("n" + request_id, 30)
        is_unframed = draw("u" + request_id, 1000) < 1000 * self.options.unframed
        say(run=request_id, id=self.options.id, events=events, unframed=is_unframed)
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {request_id}",
            "Response-Seal: s.1",
            "Content-Type: text/event-stream",
            "Connection: close" if is_unframed else "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(last + 1, events + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            if not is_unframed:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(EVENT_GAP)
        say(end=request_id, id=self.options.id, events=events)
        if not is_unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return not is_unframed

    async def answer(self, writer, status, body, lines, method="GET"):
        head = [f"HTTP/1.1 {status} x", *lines, f"Content-Length: {len(body)}", "", ""]
        sent = b"" if method == "HEAD" else body
        writer.write("\r\n".join(head).encode() + sent)
        await writer.drain()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--mode", choices=("stream", "whole", "both"), default="whole")
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--memory", type=int, default=1 << 40)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--long-ms", type=float, default=20.0)
    parser.add_argument("--crash-body", default="")
    parser.add_argument("--unframed", type=float, default=0.0)
    options = parser.parse_args()
    runner = Runner(options)
    server = await asyncio.start_server(
        runner.serve, options.host, options.port, reuse_address=True
    )
    say(ready=options.id)
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.buffer.read)
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
