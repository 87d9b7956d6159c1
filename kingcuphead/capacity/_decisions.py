"""Messages to and from the state machine that sheds load."""

import enum
from typing import TypeAlias

from kingcuphead.frozen import frozen


@frozen
class Observation:
    """What the state machine is told at each step."""

    #: Time in seconds.
    now: float
    #: Load of this daemon as a part of its capacity.
    load: float
    #: Whether this daemon is ready apart from decisions of the state machine.
    is_serving: bool
    #: Number of chosen connections that are still open.
    open_connections: int


@frozen
class Overload:
    """Figures by which a daemon has more load than others of its zone."""

    #: Load of this daemon.
    load: float
    #: Median load of the zone.
    median: float
    #: Load that this daemon exceeds.
    threshold: float
    #: Number of other daemons whose load is known.
    others: int


class EndReason(enum.StrEnum):
    """Why a daemon no longer sheds or deflects load."""

    #: The chosen connections are closed.
    CLOSED = "connections closed"
    #: The load is low enough.
    RELIEVED = "load fell"
    #: No other daemon sheds load any more.
    OTHERS_ENDED = "others ended"
    #: It was unready for as long as it may be at a time.
    EXPIRED = "time is up"
    #: It was unready for as large a part of the time as it may be.
    UNREADY_TOO_LONG = "unready for too long"
    #: As many daemons with more load as may be unready are so.
    OUTRANKED = "others have more load"
    #: It is unready for another reason.
    NOT_SERVING = "not serving"


@frozen
class SheddingBegan:
    """The daemon is unready and will close connections."""

    #: Figures that decided it.
    overload: Overload
    #: Number of other daemons of the zone that are unready.
    unready: int
    #: Number of daemons of the zone that may be unready at once.
    allowed: int


@frozen
class DeflectionBegan:
    """The daemon is unready, so that callers of others don't come to it."""

    #: Figures that decided it.
    overload: Overload
    #: Number of other daemons of the zone that are unready.
    unready: int
    #: Number of daemons of the zone that may be unready at once.
    allowed: int


@frozen
class CloseRequested:
    """Connections should be closed after their answers."""

    #: Part of the callers' traffic that the connections should carry.
    share: float


@frozen
class UnreadyEnded:
    """The daemon no longer sheds or deflects load."""

    #: Reason of the end.
    reason: EndReason
    #: Seconds since the begin.
    seconds: float
    #: Whether it shed load; else it deflected.
    was_shedding: bool


Effect: TypeAlias = SheddingBegan | DeflectionBegan | CloseRequested | UnreadyEnded
