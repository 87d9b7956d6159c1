"""Settings of placement."""

import dataclasses
from typing import Annotated

from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
Ratio = Annotated[float, Meta(gt=0, le=1)]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How targets are chosen, bounded and watched."""

    #: Availability zone of this daemon; empty where it has none.
    zone: str = ""
    #: Load of a target relative to the mean above which affinity is given up.
    affinity_load_factor: Annotated[float, Meta(ge=1)] = 1.25
    #: Part of a request's tokens that a cached prefix is taken to save.
    affinity_saving: Ratio = 0.5
    #: Factor on a target's limit when it shows congestion.
    limit_decrease: Ratio = 0.9
    #: Load of a target, relative to its concurrency, above which limits fall.
    limit_fill: Positive = 1.1
    #: Slots added to a limit for each limit's worth of uncongested answers.
    limit_increase: Positive = 1.0
    #: Seconds between two decreases of one limit.
    limit_cooldown: Positive = 3.0
    #: Time to first token, relative to its slow mean, that shows congestion.
    congestion_ratio: Annotated[float, Meta(gt=1)] = 2.0
    #: Seconds in which the weight of a load report falls to 1/e.
    report_decay: Positive = 3.0
    #: Seconds between probes of a target that is being checked.
    check_interval: Positive = 0.5
    #: Seconds without a sign after which a busy target is probed.
    quiet_interval: Positive = 0.75
    #: Seconds after which an unanswered probe counts as failed.
    probe_timeout: Positive = 0.7
    #: Failed probes that make a target silent.
    failures_to_silence: Annotated[int, Meta(ge=1)] = 2
    #: Healthy probes in a row that bring a silent or leaving target back.
    probes_to_recover: Annotated[int, Meta(ge=1)] = 3
    #: Seconds between probes of a silent target.
    recovery_interval: Positive = 1.0
    #: Seconds for which a sign of leaving outweighs a list that says live.
    sticky_leaving: Positive = 30.0
    #: Seconds for which a target that refused is left alone.
    refusal_pause: Positive = 0.5
