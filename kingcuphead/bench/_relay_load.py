"""The callers of a relay measurement."""

import asyncio
import dataclasses
import socket

from tornado.httpclient import AsyncHTTPClient

from kingcuphead.relay import Relay, RelayRequest, Timeouts

#: Events of a stream that aren't tokens: the finish reason and `[DONE]`.
_END_EVENTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """What the callers of one run received."""

    #: Events that carry a token.
    tokens: int
    #: Pieces in which they came.
    pieces: int


def find_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


async def read_cpu(address: str) -> float:
    """Return the processor time of the relay's process, in seconds."""
    response = await AsyncHTTPClient().fetch(f"http://{address}/cpu")
    return float(response.body)


async def run_streams(address: str, streams: int) -> Tally:
    """Read that many streams at once."""
    relay = Relay()
    tallies = await asyncio.gather(
        *(_read_stream(relay, address) for _ in range(streams))
    )
    relay.close()
    return Tally(
        sum(tally.tokens for tally in tallies), sum(tally.pieces for tally in tallies)
    )


async def _read_stream(relay: Relay, address: str) -> Tally:
    request = RelayRequest(
        address, "POST", "/", body=b"{}", timeouts=Timeouts(connect=10.0)
    )
    stream = (await relay.open(request)).ok
    events = pieces = 0
    last = b""
    async for block in stream:
        events += block.count(b"\n\n")
        pieces += 1
        last = block
    if not last.endswith(b"data: [DONE]\n\n"):
        raise AssertionError("a stream ended without [DONE]")
    stream.close()
    return Tally(events - _END_EVENTS, pieces)
