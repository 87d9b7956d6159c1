"""Messages between the relay and the tasks that use it."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType

#: The headers of a request that has none.
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """How long a target may stay silent, in seconds."""

    #: Until the connection stands.
    connect: float = 1.0
    #: From the connection to the first byte of the answer.
    first_byte: float = 60.0
    #: Between two pieces of the answer.
    idle: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class RelayLimits:
    """Bounds on what the relay keeps."""

    #: Bytes of one answer that wait for a slow caller before the target is paused.
    buffer_bytes: int = 64 * 1024
    #: Connections to targets that are kept open for reuse.
    idle_connections: int = 256
    #: Seconds after which an unused connection is not used again.
    connection_idle: int = 4
    #: Most bytes of the headers of one answer.
    header_bytes: int = 64 * 1024
    #: Seconds for which pieces of answers are gathered while they come closely; this
    #: is the most that a token is held up.
    gather_seconds: float = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """One request to one target."""

    #: IP number and port of the target.
    address: str
    #: HTTP method.
    method: str
    #: Path and query, starting with a slash.
    path: str
    #: Headers of the request; hop-by-hop headers are left out when it is sent.
    headers: Mapping[str, str] = dataclasses.field(default_factory=lambda: NO_HEADERS)
    #: Body, or None for a request without one.
    body: bytes | None = None
    #: Whether a second execution would do no harm. If not, the request is sent on
    #: a new connection, where it is certain that it is sent only once.
    idempotent: bool = False
    #: How long the target may stay silent.
    timeouts: Timeouts = Timeouts()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a target's answer."""

    #: HTTP status.
    status: int
    #: Headers in their order, hop-by-hop headers left out.
    headers: tuple[tuple[str, str], ...]

    def get_header(self, name: str) -> str | None:
        """Return the first header of that name, whatever its case."""
        wanted = name.lower()
        for known, value in self.headers:
            if known.lower() == wanted:
                return value
        return None
