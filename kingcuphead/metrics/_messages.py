"""Measurements that tasks report to the metrics."""

import dataclasses
from collections.abc import Mapping

from kingcuphead.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Limits on the number of series."""

    #: Maximum number of organisations with their own series; the others share one.
    organisations: int = 50
    #: Maximum number of work classes with their own series; the others share one.
    classes: int = 32


@dataclasses.dataclass(frozen=True, slots=True)
class StreamTimes:
    """Times of one answer's tokens, in seconds."""

    #: Time in seconds from the arrival of the request to the first token.
    first_token: float
    #: Mean time in seconds between two chunks; None if there was only one chunk.
    mean_gap: float | None
    #: Maximum time in seconds between two chunks; None if there was only one chunk.
    longest_gap: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMeasured:
    """Measurements of one request at its end."""

    #: Name of the organisation; "" if the caller is unknown.
    organisation: str
    #: Work class; "" if it is unknown.
    work_class: str
    #: Verdict of a refused or failed request; None after a complete answer.
    verdict: Verdict | None
    #: Phases of the request and their durations in seconds.
    phases: tuple[tuple[str, float], ...] = ()
    #: Times of the answer's tokens; None if there was no token.
    stream: StreamTimes | None = None
    #: Number of billed prompt tokens.
    prompt_tokens: int = 0
    #: Number of billed completion tokens.
    completion_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonState:
    """Current state of a daemon for its gauges."""

    #: Number of requests in progress.
    open_requests: int
    #: Number of requests queued for a target, by work class.
    queued: Mapping[str, int]
    #: Free tokens: tokens of open grants that are neither held nor spent.
    free_tokens: int
    #: Tokens of open grants that are held for requests in progress.
    held_tokens: int
    #: Revision of the active configuration.
    revision: int
    #: Whether the daemon accepts requests.
    ready: bool
