"""The messages that open a tunnel; the bytes of the connection follow them."""

import enum

from kingcuphead.frozen import frozen


class TunnelOutcome(enum.StrEnum):
    """What became of a request for a tunnel; without one, nothing was sent."""

    #: The tunnel is open.
    OPENED = "opened"
    #: No process listens at the address of the target.
    REFUSED = "refused"
    #: The target could not be connected to for another reason.
    UNREACHABLE = "unreachable"
    #: The target takes no new requests, as far as the helping daemon knows.
    CLOSED = "closed"
    #: The helping daemon can't help: it has no path itself, ends, or is busy.
    UNAVAILABLE = "unavailable"


@frozen
class TunnelAsked:
    """A daemon wants a connection to a target."""

    #: Address of the target as `IP:port`.
    address: str


@frozen
class TunnelAnswered:
    """The answer of the helping daemon."""

    #: Whether the tunnel is open, or why not.
    outcome: TunnelOutcome
