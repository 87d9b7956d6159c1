"""Messages about permits between the daemon that asks and the one that coordinates."""

from typing import TypeAlias

from kingcuphead.frozen import frozen
from kingcuphead.permits._terms import TargetTerms


@frozen
class PermitAsked:
    """A daemon wants to send one request to a target."""

    #: Number of the query, which the answer repeats.
    number: int
    #: Incarnation of the target.
    target: str
    #: Terms of the target that the asking daemon knows.
    terms: TargetTerms
    #: Requests that the target runs at once.
    slots: int
    #: Requests that the asking daemon has open there, with this one.
    open_requests: int
    #: Tokens that they hold in the memory of the target; None if it isn't limited.
    memory_tokens: int | None = None
    #: Tokens that the memory has room for; None if it isn't limited.
    memory_capacity: int | None = None
    #: Whether the asking daemon doesn't know if the target is cold, and takes it for
    #: cold to be safe.
    is_doubtful: bool = False


@frozen
class PermitAnswered:
    """The coordinator's answer to one query."""

    #: Number of the query.
    number: int
    #: Whether the request may be sent.
    is_granted: bool
    #: Seconds until the next permit may be had; 0 if this one is granted.
    wait: float
    #: Whether the daemon that answers owns a part of the permits of the target.
    is_holder: bool = True
    #: Whether the memory of the target lacks room for the request.
    is_full: bool = False


@frozen
class RoomReported:
    """A daemon has other requests open at a target than before."""

    #: Number of the report, of the same sequence as those of queries.
    number: int
    #: Incarnation of the target.
    target: str
    #: Requests that the daemon has open there.
    open_requests: int
    #: Whether the target had no room for a request.
    was_rejected: bool
    #: Tokens that they hold in the memory of the target; None if it isn't limited.
    memory_tokens: int | None = None


@frozen
class CoordinatorProbed:
    """A daemon wants to know whether the receiver lives and knows of it."""


@frozen
class ProbeAnswered:
    """The answer to a probe."""

    #: Whether the daemon that probes is in the receiver's list of daemons.
    is_known: bool


@frozen
class TermsReported:
    """A target has changed its terms."""

    #: Incarnation of the target.
    target: str
    #: The new terms.
    terms: TargetTerms


PermitMessage: TypeAlias = (
    PermitAsked
    | PermitAnswered
    | RoomReported
    | CoordinatorProbed
    | ProbeAnswered
    | TermsReported
)
