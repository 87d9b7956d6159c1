"""Settings of the quarantine."""

from typing import Annotated

from msgspec import Meta

from kingcuphead.frozen import frozen

Positive = Annotated[float, Meta(gt=0)]


@frozen
class QuarantineSettings:
    """Thresholds for crash attribution and quarantine."""

    #: Distinct crashed targets at which a fingerprint is quarantined.
    min_crashed_targets: Annotated[int, Meta(ge=2)] = 2
    #: Distinct crashed targets at which a part of prompts is accused; a wrong verdict
    #: meets more requests than one on a single request.
    min_targets_of_part: Annotated[int, Meta(ge=2)] = 4
    #: Distinct crashed targets at which several accused parts of prompts are all
    #: quarantined; with fewer, the next crash is awaited.
    max_disputed: Annotated[int, Meta(ge=2)] = 5
    #: Seconds after its first token during which a request is the likely crash cause.
    early_phase: Positive = 2.0
    #: Seconds within which broken streams of one target count as one crash.
    crash_window: Positive = 1.0
    #: Seconds for which a crash counts towards quarantine.
    crash_retention: Positive = 600.0
    #: Seconds after which a quarantine ends.
    expiry: Positive = 3600.0
    #: Maximum entries in each table; the oldest is evicted first.
    capacity: Annotated[int, Meta(ge=1)] = 4096
