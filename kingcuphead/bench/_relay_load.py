"""Callers of the relay benchmark."""

import asyncio
import dataclasses
import socket

from tornado.httpclient import AsyncHTTPClient

from kingcuphead.relay import Relay, RelayRequest, Timeouts

#: Events per stream that carry no token: the finish reason and `[DONE]`.
_END_EVENTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Tokens and chunks that the callers of one run received."""

    #: Number of events that carry a token.
    tokens: int
    #: Number of chunks in which the events arrived.
    chunks: int


def find_port() -> int:
    """Return a port that is currently free."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


async def read_cpu(address: str) -> float:
    """Return the processor time of the relay's process, in seconds."""
    response = await AsyncHTTPClient().fetch(f"http://{address}/cpu")
    return float(response.body)


async def run_streams(address: str, streams: int) -> Tally:
    """Read the given number of streams concurrently."""
    relay = Relay()
    tallies = await asyncio.gather(
        *(_read_stream(relay, address) for _ in range(streams))
    )
    relay.close()
    return Tally(
        sum(tally.tokens for tally in tallies), sum(tally.chunks for tally in tallies)
    )


async def _read_stream(relay: Relay, address: str) -> Tally:
    request = RelayRequest(
        address, "POST", "/", body=b"{}", timeouts=Timeouts(connect=10.0)
    )
    stream = (await relay.open(request)).ok
    events = chunks = 0
    last = b""
    async for block in stream:
        events += block.count(b"\n\n")
        chunks += 1
        last = block
    if not last.endswith(b"data: [DONE]\n\n"):
        raise AssertionError("a stream ended without [DONE]")
    stream.close()
    return Tally(events - _END_EVENTS, chunks)
