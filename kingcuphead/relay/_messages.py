"""Requests, response heads, timeouts and limits of the relay."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType

#: Empty headers, the default of a request.
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of one request to a target, in seconds."""

    #: Connect timeout: until the TCP connection is established.
    connect: float = 1.0
    #: First-byte timeout: the response head must arrive within `connect` plus this.
    first_byte: float = 60.0
    #: Idle timeout: between two chunks of the response body.
    idle: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class RelayLimits:
    """Limits of buffers, connections and batching in the relay."""

    #: Buffered bytes of one response at which a slow reader pauses the target.
    buffer_bytes: int = 64 * 1024
    #: Number of idle connections that are kept open for reuse.
    idle_connections: int = 256
    #: Seconds of idleness after which a connection is not reused.
    connection_idle: int = 4
    #: Maximum size of one response's headers, in bytes.
    header_bytes: int = 64 * 1024
    #: Seconds for which socket events are batched while they arrive in quick
    #: succession; the maximum delay that this adds to a token.
    batch_seconds: float = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """One request to one target."""

    #: Address of the target as `IP:port`.
    address: str
    #: HTTP method, sent unchanged.
    method: str
    #: Path and query, starting with a slash.
    path: str
    #: Headers of the request; hop-by-hop headers are dropped when it is sent.
    headers: Mapping[str, str] = dataclasses.field(default_factory=lambda: NO_HEADERS)
    #: Body; None for a request without a body.
    body: bytes | None = None
    #: Whether a second execution is harmless. If not, the request uses a new
    #: connection, because libcurl may resend a request on a reused one.
    idempotent: bool = False
    #: Timeouts of this request.
    timeouts: Timeouts = Timeouts()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a target's response."""

    #: HTTP status code of the final, not an interim, response.
    status: int
    #: Headers in the order received, without hop-by-hop headers.
    headers: tuple[tuple[str, str], ...]

    def get_header(self, name: str) -> str | None:
        """Return the value of the first header with that name, ignoring case."""
        lowered = name.lower()
        for header_name, value in self.headers:
            if header_name.lower() == lowered:
                return value
        return None
