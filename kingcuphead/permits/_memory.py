"""Counts the tokens that all daemons hold in the memory of one engine."""

from kingcuphead.frozen import frozen

#: Seconds after its last report for which the tokens of a daemon still count. A daemon
#: that can't be heard may have requests there until their deadlines.
REPORT_LIFETIME = 15.0
#: Seconds after which a report with a lower number comes from a restarted daemon.
REORDERING_PERIOD = 1.0
#: Share of the memory that the first coordinator grants. The rest is for daemons that
#: can't reach it.
COORDINATOR_SHARE = 0.8
#: Share up to which the first coordinator grants while it isn't certain to be the only
#: one. Each daemon that is ranked after it grants half as much as the one before, so
#: that all of them together stay within the rest of the memory.
UNCERTAIN_SHARE = 0.1


def compute_memory_share(position: int, is_only: bool) -> float:
    """Return the share of a target's memory that a daemon may grant.

    Parameters
    ----------
    position
        Number of daemons that are ranked before it.
    is_only
        Whether it is certain that no other daemon takes itself for the first.
    """
    if position == 0 and is_only:
        return COORDINATOR_SHARE
    return UNCERTAIN_SHARE * 0.5**position


@frozen
class MemoryClaim:
    """A daemon wants to send a request to an engine."""

    #: Tokens that its requests hold there, with that one.
    tokens: int
    #: Tokens that the memory of the engine has room for.
    capacity: int
    #: Whether the request may be sent if no coordinator can be reached.
    fits_unasked: bool = False
    #: Whether the request may be sent if no other daemon can be heard.
    fits_isolated: bool = False


@frozen
class _Report:
    """The last report of one daemon."""

    tokens: int
    number: int
    received_at: float


class EngineMemory:
    """The tokens in the memory of one engine; does no I/O."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def has_room(
        self, holder: str, claim: MemoryClaim, share: float, now: float
    ) -> bool:
        """Return whether a daemon may send a request.

        Parameters
        ----------
        holder
            The daemon.
        claim
            What its requests hold, with that one.
        share
            Share of the memory that may be granted here.
        now
            Current time in seconds.
        """
        others = self.count_tokens(now, holder)
        previous = self._reports.get(holder)
        holds_none = previous is None or not previous.tokens
        if not others and holds_none and share == COORDINATOR_SHARE:
            return claim.tokens <= claim.capacity
        return others + claim.tokens <= share * claim.capacity

    def record(self, holder: str, tokens: int, number: int, now: float) -> None:
        """Replace the report of a daemon, unless a later one has arrived."""
        previous = self._reports.get(holder)
        is_late = (
            previous is not None
            and number < previous.number
            and now - previous.received_at < REORDERING_PERIOD
        )
        if not is_late:
            self._reports[holder] = _Report(tokens, number, now)

    def count_tokens(self, now: float, excluded: str = "") -> int:
        """Return the tokens of all daemons but one."""
        return sum(
            report.tokens
            for holder, report in self._reports.items()
            if holder != excluded and now - report.received_at <= REPORT_LIFETIME
        )
