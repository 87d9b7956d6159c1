"""Settings of the scheduler."""

import dataclasses
from typing import Annotated

from msgspec import Meta

from kingcuphead.placement import PlacementSettings
from kingcuphead.quarantine import QuarantineSettings

Positive = Annotated[float, Meta(gt=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class QueueingSettings:
    """How requests wait and when they are refused."""

    #: Most requests that wait in one daemon.
    capacity: Annotated[int, Meta(ge=1)] = 2000
    #: Requests of one class among which one is sought whose prefix a target caches.
    lookahead: Annotated[int, Meta(ge=1)] = 16
    #: Times that a request may be passed over for one that is cached.
    longest_skip: Annotated[int, Meta(ge=0)] = 16
    #: Seconds that a request is assumed to hold a slot before any was seen to.
    initial_hold: Positive = 1.0
    #: Part of the time to its deadline in which a new request's first token is due.
    admission_margin: Annotated[float, Meta(gt=0, le=1)] = 0.8
    #: Part of the slots that is kept for the first class while it sends requests.
    reserve: Annotated[float, Meta(ge=0, lt=1)] = 0.0
    #: Seconds for which slots are kept after a request of the first class.
    reserve_memory: Positive = 60.0
    #: Ratio of estimated wait to time left above which a waiting request is given up.
    giving_up_margin: Annotated[float, Meta(ge=1)] = 1.5
    #: Shortest time to come back, in seconds.
    least_retry_after: Positive = 1.0
    #: Longest time to come back, in seconds.
    longest_retry_after: Positive = 60.0
    #: The router's own retries as a share of the requests that arrive.
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    #: Retries that may be saved up.
    retry_burst: Annotated[float, Meta(ge=1)] = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of the three machines that the scheduler joins."""

    #: How requests wait.
    queueing: QueueingSettings = QueueingSettings()
    #: How targets are chosen.
    placement: PlacementSettings = PlacementSettings()
    #: How crashing requests are held back.
    quarantine: QuarantineSettings = QuarantineSettings()
