"""Error answers that this fleet sends itself."""

from kingcuphead.frozen import frozen
from kingcuphead.verdict import Reason


@frozen
class Refusal:
    """A final error answer that no target sent."""

    #: HTTP status.
    status: int
    #: Machine-readable cause.
    reason: Reason
    #: Seconds after which a retry may succeed; None if no retry is advised.
    retry_after: float | None


def refuse(status: int, reason: Reason, retry_after: float | None = None) -> Refusal:
    """Create a refusal; `retry_after` is in seconds, None if no retry is advised."""
    return Refusal(status, reason, retry_after)
