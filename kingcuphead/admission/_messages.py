"""Requests that ask for admission, and the decisions about them."""

import enum
from typing import TypeAlias

from kingcuphead.frozen import frozen
from kingcuphead.verdict import Reason

#: Wait in units of the objective after which a request counts as aged.
AGED_OBJECTIVES = 2.0
#: Lower bound of that wait in seconds.
MIN_AGED_SECONDS = 0.2


@frozen
class AdmissionRequest:
    """A request that is to be sent to a target of its service."""

    #: Id of the arrival, unique in this daemon.
    request_id: str
    #: Name of the service.
    service: str
    #: Name of the paying organisation; empty for an anonymous request.
    organisation: str
    #: Priority; 0 is the most urgent.
    rank: int
    #: Size in tokens, 1 for requests without token counts.
    size: int
    #: Length of the body in bytes.
    body_bytes: int
    #: Digest that all tries of one request share.
    fingerprint: str
    #: Time of arrival in seconds.
    arrived_at: float
    #: Time in seconds at which the latency objective skips.
    objective_ends_at: float
    #: Time in seconds by which the final answer is due.
    deadline: float
    #: Expected seconds from admission to the first answer; 0 if unknown.
    answer_seconds: float = 0.0

    @property
    def is_retry(self) -> bool:
        """Whether it goes ahead of its organisation's requests; never by itself."""
        return False

    @property
    def aged_at(self) -> float:
        """Time from which on it has waited so long that it may overtake others."""
        objective = self.objective_ends_at - self.arrived_at
        return self.arrived_at + max(MIN_AGED_SECONDS, AGED_OBJECTIVES * objective)

    @property
    def last_start_in_time(self) -> float:
        """Last time of admission at which the objective is expected to be met."""
        return self.objective_ends_at - self.answer_seconds

    @property
    def last_start(self) -> float:
        """Last time of admission at which the deadline is expected to be met."""
        return self.deadline - self.answer_seconds


class Standing(enum.IntEnum):
    """Place of a request among those of its rank; the lowest value is served first."""

    #: Was refused before and came back when it was told to, or is large while large
    #: requests get a smaller share of their demand.
    EXPEDITED = 0
    #: Is expected to meet its objective.
    TIMELY = 1
    #: Is expected to miss its objective.
    LATE = 2


@frozen
class QueueFigures:
    """What a refusal was based on, for the log."""

    #: Number of requests that waited for the service.
    waiting: int
    #: Number of requests ahead.
    ahead: int
    #: Requests admitted per second; None before it is measured.
    rate: float | None
    #: Seconds that were left for the wait.
    remaining: float

    def __str__(self) -> str:
        """Return the figures as a field of a log line."""
        rate = "-" if self.rate is None else f"{self.rate:.1f}/s"
        return (
            f"waiting={self.waiting} ahead={self.ahead} rate={rate} "
            f"remaining={self.remaining:.3f}s"
        )


@frozen
class Admitted:
    """The request may be sent to a target now."""


@frozen
class Refused:
    """The request is not going to run."""

    #: Machine-readable cause.
    reason: Reason
    #: Seconds until room for the request is expected.
    retry_after: float
    #: What the refusal was based on.
    figures: QueueFigures


#: Decision about one request.
Decision: TypeAlias = Admitted | Refused


@frozen
class Rejection:
    """A request that was removed from a queue unserved."""

    #: The request.
    request: AdmissionRequest
    #: Answer to it.
    refused: Refused
