"""What daemons tell each other about the load that they put on targets."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """The load of one daemon on one target."""

    #: Name of the target.
    target: str
    #: Requests that the daemon has there.
    running: int
    #: Prompt tokens of those whose answers have not begun.
    unread_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadsReported:
    """All loads of one life of a daemon."""

    #: Identity of that life.
    sender: str
    #: Number of the report; a lower one came late.
    number: int
    #: Loads on targets that have any.
    loads: tuple[TargetLoad, ...]
