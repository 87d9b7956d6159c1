"""Answers of this fleet's own."""

import dataclasses

from kingcuphead.verdict import Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer without a target's."""

    #: HTTP status.
    status: int
    #: Machine-readable cause.
    reason: Reason
    #: Seconds after which it makes sense to come back; None where it never does.
    retry_after: float | None


def refuse(status: int, reason: Reason, retry_after: float | None = None) -> Refusal:
    """Return a refusal."""
    return Refusal(status, reason, retry_after)
