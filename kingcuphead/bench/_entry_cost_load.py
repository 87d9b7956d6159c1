"""Callers and targets of a daemon whose cost is measured, in a process of their own.

The targets listen for requests of the daemon, and their ports are printed. Each line of
the input is a number of requests, which the callers send; a line is printed once all of
them have been answered.
"""

import asyncio
import itertools
import json
import sys
from collections.abc import Callable
from typing import Any

from kingcuphead.platform.tests._documents import (
    make_caller_headers,
    make_stream_head,
)

# Test helpers have no type annotations.
make_headers: Any = make_caller_headers
encode_head: Any = make_stream_head

#: Number of targets.
TARGETS = 40
#: Callers, each of which sends one request at a time on a connection of its own.
CALLERS = 16
#: Seconds from a request to the first event, and between two events.
EVENT_GAP = 0.01
#: Bytes of a request's body.
BODY_BYTES = 4_000

_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class Target(asyncio.Protocol):
    """A connection of a target, which answers each request with a stream.

    Parameters
    ----------
    events
        Number of events of a stream.
    """

    def __init__(self, events: int) -> None:
        self._events = events
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.WriteTransport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Begin a stream once the request is complete."""
        self._received += data
        head, _, body = self._received.partition(_HEAD_END)
        if len(body) < BODY_BYTES:
            return
        self._received = b""
        # The path of a request is its id.
        request_id = head.split(maxsplit=2)[1].rpartition(b"/")[2].decode()
        _call_later(self._send, encode_head(request_id), 1)

    def _send(self, head: bytes, number: int) -> None:
        event = b'id: %d\ndata: {"text": "some words"}\n\n' % number
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        if number < self._events:
            self._transport.write(head + chunk)
            _call_later(self._send, b"", number + 1)
        else:
            self._transport.write(head + chunk + _LAST_CHUNK)


def _call_later(function: Callable[..., None], *arguments: object) -> None:
    asyncio.get_running_loop().call_later(EVENT_GAP, function, *arguments)


def _encode_request(number: int) -> bytes:
    request_id = f"{number:016x}"
    headers = make_headers(request_id, parts=("a", f"b{number}"))
    lines = [
        f"POST /r/{request_id} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
        "Content-Type: application/json",
        "Accept: text/event-stream",
        f"Content-Length: {BODY_BYTES}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + bytes(BODY_BYTES)


async def run_caller(address: str, numbers: "itertools.count[int]", end: int) -> None:
    """Send requests one after another until their numbers reach an end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    while (number := next(numbers)) < end:
        writer.write(_encode_request(number))
        head = await reader.readuntil(_HEAD_END)
        if b" 200 " not in head.partition(b"\r\n")[0]:
            raise RuntimeError(f"unexpected answer: {head!r}")
        await reader.readuntil(_LAST_CHUNK)
    writer.close()


async def main(address: str, events: str) -> None:
    """Run the targets, and the callers of the daemon at an address."""
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(lambda: Target(int(events)), "127.0.0.1", 0)
        for _ in range(TARGETS)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    print(json.dumps(ports), flush=True)
    first = 1
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        end = first + int(line)
        numbers = itertools.count(first)
        await asyncio.gather(
            *(run_caller(address, numbers, end) for _ in range(CALLERS))
        )
        first = end
        print("done", flush=True)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
