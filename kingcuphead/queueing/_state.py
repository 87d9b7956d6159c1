"""State shared by the parts of the scheduler."""

import dataclasses
import math
from collections import defaultdict
from collections.abc import Mapping

from kingcuphead.placement import Placement, PlacementQuery, encode_key
from kingcuphead.quarantine import Quarantine
from kingcuphead.queueing._backlog import Backlog, ClassQueue, Lane, get_work_class
from kingcuphead.queueing._estimates import ServiceEstimate
from kingcuphead.queueing._messages import RequestArrived
from kingcuphead.queueing._occupancy import Occupancy
from kingcuphead.queueing._settings import QueueingSettings
from kingcuphead.queueing._waits import LaneState
from kingcuphead.records import Configuration, WorkClass

#: Lower bound of the slot time in service rates, in seconds.
MIN_SLOT_SECONDS = 1e-3


@dataclasses.dataclass(slots=True)
class SchedulerState:
    """State machines of the scheduler, and lookups that need several of them."""

    #: Queueing, admission and retry parameters.
    settings: QueueingSettings
    #: Targets with their load, limits and states.
    placement: Placement
    #: Crashes and quarantined fingerprints.
    quarantine: Quarantine
    #: Applied configuration.
    configuration: Configuration = dataclasses.field(default_factory=Configuration)
    #: Waiting requests.
    backlog: Backlog = dataclasses.field(default_factory=Backlog)
    #: Slots occupied by each class.
    occupancy: Occupancy = dataclasses.field(default_factory=Occupancy)
    #: Requests in flight, by request id.
    running: dict[str, RequestArrived] = dataclasses.field(default_factory=dict)
    #: Last arrival of a top-class request by lane, in seconds on the monotonic clock.
    top_class_seen_at: dict[Lane, float] = dataclasses.field(default_factory=dict)
    #: Service estimates by lane and class.
    estimates: dict[Lane, defaultdict[str, ServiceEstimate]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def classes(self) -> Mapping[str, WorkClass]:
        """Configured classes by name."""
        return self.configuration.classes

    def get_class(self, request: RequestArrived) -> WorkClass:
        """Return the class of a request, or the substitute for an unknown one."""
        return get_work_class(self.classes, request.work_class)

    def is_top_class(self, work_class: WorkClass) -> bool:
        """Return whether no configured class has a more urgent rank."""
        ranks = (entry.rank for entry in self.classes.values())
        return work_class.rank <= min(ranks, default=work_class.rank)

    def sort_queues(self, now: float) -> list[ClassQueue]:
        """Return the non-empty queues, the most urgent first."""
        return self.backlog.sort_queues(self.classes, now)

    def build_query(self, request: RequestArrived) -> PlacementQuery:
        """Return the requirements of a request on its target."""
        work_class = self.get_class(request)
        return PlacementQuery(
            request.service,
            request.model,
            encode_key(request.affinity_key),
            size=request.size,
            priority=work_class.rank,
            excluded=request.excluded,
            is_suspect=self.quarantine.is_suspect(request.fingerprint),
            is_top_class=self.is_top_class(work_class),
        )

    def get_estimates(self, lane: Lane) -> defaultdict[str, ServiceEstimate]:
        """Return the service estimates of a lane by class."""
        if lane not in self.estimates:
            slot_seconds = self.settings.initial_slot_seconds
            self.estimates[lane] = defaultdict(lambda: ServiceEstimate(slot_seconds))
        return self.estimates[lane]

    def describe_lane(self, lane: Lane) -> LaneState:
        """Return the inputs for estimating waits in a lane."""
        return LaneState(
            lane,
            self.placement.count_slots(lane.service, lane.model),
            self.classes,
            self.get_estimates(lane),
            self.occupancy,
        )

    def compute_service_rate(self, entry: ClassQueue) -> float:
        """Return the requests per second that the slots of a class can serve."""
        state = self.describe_lane(entry.lane)
        slot_seconds = state.estimates[entry.work_class.name].slot_seconds
        share = state.slots * entry.work_class.share
        return share / max(slot_seconds, MIN_SLOT_SECONDS)

    def count_slots(self, entry: ClassQueue, now: float) -> int:
        """Return the lane's slots minus those reserved for the top class."""
        slots = self.placement.count_slots(entry.lane.service, entry.lane.model)
        seen_at = self.top_class_seen_at.get(entry.lane, float("-inf"))
        is_reserved = now - seen_at < self.settings.reserved_slot_seconds
        if not is_reserved or self.is_top_class(entry.work_class):
            return slots
        reserved = math.ceil(slots * self.settings.reserved_slot_share)
        return slots - min(slots - 1, reserved)
