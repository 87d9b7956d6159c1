"""Reports that daemons send each other about the load that they put on targets."""

from kingcuphead.frozen import frozen


@frozen
class TargetLoad:
    """The load of one daemon, or of several together, on one target."""

    #: Name of the target.
    target: str
    #: Open requests on the target.
    running: int
    #: Tokens pending prefill: those of the prompts whose answers have not begun.
    unread_tokens: int
    #: Tokens of engine memory that its open requests take: prompts, without the parts
    #: that several of them share, and the longest answers.
    memory_tokens: int = 0


@frozen
class LoadsReported:
    """All loads of one incarnation of a daemon."""

    #: Identity of the incarnation.
    sender: str
    #: Sequence number; receivers ignore reports that aren't newer.
    number: int
    #: Loads per target; targets without load are left out.
    loads: tuple[TargetLoad, ...]
    #: Whether the sender can't open connections to targets.
    is_cut_off: bool = False


@frozen
class PlacementAnnounced:
    """A daemon has just sent a large prompt to a target."""

    #: Identity of the incarnation of the daemon.
    sender: str
    #: What the request adds to the load of the target.
    load: TargetLoad
