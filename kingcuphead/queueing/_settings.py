"""Settings of the scheduler."""

import dataclasses
from typing import Annotated

from msgspec import Meta

from kingcuphead.placement import PlacementSettings
from kingcuphead.quarantine import QuarantineSettings

Positive = Annotated[float, Meta(gt=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class QueueingSettings:
    """Parameters of queueing, admission and retries."""

    #: Maximum requests waiting in one daemon.
    capacity: Annotated[int, Meta(ge=1)] = 2000
    #: Number of requests at the head of a queue that are searched for a cached prefix.
    lookahead: Annotated[int, Meta(ge=1)] = 16
    #: Times that a request may be skipped in favour of one with a cached prefix.
    max_skips: Annotated[int, Meta(ge=0)] = 16
    #: Assumed slot time of a request before the first completion, in seconds.
    initial_slot_seconds: Positive = 1.0
    #: Share of the time to the deadline within which a first token must be expected.
    admission_margin: Annotated[float, Meta(gt=0, le=1)] = 0.8
    #: Share of the slots reserved for the top class while it sends requests.
    reserved_slot_share: Annotated[float, Meta(ge=0, lt=1)] = 0.0
    #: Seconds for which slots stay reserved after a request of the top class.
    reserved_slot_seconds: Positive = 60.0
    #: Ratio of expected to remaining time above which a waiting request is rejected.
    late_margin: Annotated[float, Meta(ge=1)] = 1.5
    #: Minimum retry delay for refused callers, in seconds.
    min_retry_after: Positive = 1.0
    #: Maximum retry delay for refused callers, in seconds.
    max_retry_after: Positive = 60.0
    #: Retries that each first attempt adds to the router's retry budget.
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    #: Capacity of the retry budget, in retries.
    retry_burst: Annotated[float, Meta(ge=1)] = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of the three state machines that the scheduler combines."""

    #: Queueing, admission and retries.
    queueing: QueueingSettings = QueueingSettings()
    #: Target choice, limits and probes.
    placement: PlacementSettings = PlacementSettings()
    #: Crash attribution and quarantine.
    quarantine: QuarantineSettings = QuarantineSettings()
