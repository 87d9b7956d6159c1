"""Settings of the quarantine."""

import dataclasses
from typing import Annotated

from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """When a request counts as one that crashes targets."""

    #: Distinct targets that a fingerprint must have crashed.
    crashes: Annotated[int, Meta(ge=2)] = 2
    #: Seconds after its first token in which a request is suspected of a crash.
    early_phase: Positive = 2.0
    #: Seconds in which broken streams of one target count as one crash.
    crash_window: Positive = 1.0
    #: Seconds for which a crash is remembered.
    crash_memory: Positive = 600.0
    #: Seconds after which a quarantined fingerprint is let go.
    expiry: Positive = 3600.0
    #: Most fingerprints that are kept; the oldest goes first.
    capacity: Annotated[int, Meta(ge=1)] = 4096
