"""Settings of placement."""

import dataclasses
from typing import Annotated

from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
Ratio = Annotated[float, Meta(gt=0, le=1)]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Parameters of target choice, concurrency limits and health probes."""

    #: Availability zone of this daemon; empty if it has none.
    zone: str = ""
    #: Load relative to the mean above which the preferred target is not chosen.
    affinity_load_factor: Annotated[float, Meta(ge=1)] = 1.25
    #: Assumed share of a request's tokens whose prefill a cached prefix saves.
    affinity_saving: Ratio = 0.5
    #: Factor applied to a target's limit on congestion.
    limit_decrease: Ratio = 0.9
    #: Load of a target, relative to its concurrency, above which limits decrease.
    limit_fill: Positive = 1.1
    #: Slots by which a limit of n slots grows over n uncongested answers.
    limit_increase: Positive = 1.0
    #: Minimum seconds between two decreases of one limit.
    limit_cooldown: Positive = 3.0
    #: Ratio of fast to slow average time to first token that signals congestion.
    congestion_ratio: Annotated[float, Meta(gt=1)] = 2.0
    #: Seconds in which the weight of a load report decays to 1/e.
    report_decay: Positive = 3.0
    #: Seconds between probes of a target in state `CHECKING`.
    check_interval: Positive = 0.5
    #: Seconds since its last answer after which a busy target is probed.
    max_answer_age: Positive = 0.75
    #: Seconds after which an unanswered probe counts as failed.
    probe_timeout: Positive = 0.7
    #: Consecutive failed probes after which a target is unresponsive.
    failures_to_unresponsive: Annotated[int, Meta(ge=1)] = 2
    #: Consecutive healthy probes that make an unresponsive or leaving target live.
    probes_to_recover: Annotated[int, Meta(ge=1)] = 3
    #: Seconds between probes of an unresponsive or recovering target.
    recovery_interval: Positive = 1.0
    #: Seconds after a report of leaving before healthy probes can make the target live;
    #: an instance list that shows the target as live does not shorten this time.
    min_leaving_seconds: Positive = 30.0
    #: Seconds after a refusal before the target is probed.
    refusal_backoff: Positive = 0.5
