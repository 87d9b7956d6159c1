"""What tasks report to the metrics."""

import dataclasses
from collections.abc import Mapping

from kingcuphead.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Bounds of the metrics."""

    #: Most organisations with series of their own; the others share one.
    organisations: int = 50
    #: Most work classes with series of their own.
    classes: int = 32


@dataclasses.dataclass(frozen=True, slots=True)
class StreamTimes:
    """Times of one answer's tokens, in seconds."""

    #: From the arrival of the request to its first token.
    first_token: float
    #: Mean time between two pieces of the answer; None if there was only one.
    mean_gap: float | None
    #: Longest time between two pieces; None if there was only one.
    longest_gap: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMeasured:
    """The end of one request."""

    #: Name of the organisation, "" if the caller isn't known.
    organisation: str
    #: Work class, "" if it isn't known.
    work_class: str
    #: The verdict, or None for a whole answer.
    verdict: Verdict | None
    #: Phases of the request and their lengths in seconds.
    phases: tuple[tuple[str, float], ...] = ()
    #: Times of the answer's tokens; None if there was none.
    stream: StreamTimes | None = None
    #: Prompt tokens that were billed.
    prompt_tokens: int = 0
    #: Completion tokens that were billed.
    completion_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonState:
    """What a daemon holds at one moment."""

    #: Requests that have not ended.
    open_requests: int
    #: Requests that wait for a target, by work class.
    queued: Mapping[str, int]
    #: Tokens of open grants that are neither held nor spent.
    free_tokens: int
    #: Tokens of open grants that are held for requests.
    held_tokens: int
    #: Revision of the configuration in force.
    revision: int
    #: Whether the daemon accepts requests.
    ready: bool
