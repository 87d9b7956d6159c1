"""What the scheduler's parts share: the machines and the requests in flight."""

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

#: Least time that a request is taken to hold a slot, in seconds.
LEAST_HOLD_SECONDS = 1e-3


@dataclasses.dataclass(slots=True)
class SchedulerState:
    """The machines behind the scheduler, and lookups that need several of them."""

    #: How requests wait.
    settings: QueueingSettings
    #: Targets.
    placement: Placement
    #: Requests that are held back.
    quarantine: Quarantine
    #: Records in force.
    configuration: Configuration = dataclasses.field(default_factory=Configuration)
    #: Requests that wait.
    backlog: Backlog = dataclasses.field(default_factory=Backlog)
    #: Slots that classes hold.
    occupancy: Occupancy = dataclasses.field(default_factory=Occupancy)
    #: Requests in flight.
    running: dict[str, RequestArrived] = dataclasses.field(default_factory=dict)
    #: When each lane last had a request of the first class, in seconds.
    first_seen_at: dict[Lane, float] = dataclasses.field(default_factory=dict)
    #: Service times by lane and class.
    estimates: dict[Lane, defaultdict[str, ServiceEstimate]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def classes(self) -> Mapping[str, WorkClass]:
        """Classes in force."""
        return self.configuration.classes

    def get_class(self, request: RequestArrived) -> WorkClass:
        """Return the class of a request."""
        return get_work_class(self.classes, request.work_class)

    def is_top_class(self, work_class: WorkClass) -> bool:
        """Tell whether no class goes before this one."""
        ranks = (entry.rank for entry in self.classes.values())
        return work_class.rank <= min(ranks, default=work_class.rank)

    def sort_queues(self, now: float) -> list[ClassQueue]:
        """Return the queues that hold requests, the most urgent first."""
        return self.backlog.sort_queues(self.classes, now)

    def build_query(self, request: RequestArrived) -> PlacementQuery:
        """Return what a request needs of a target."""
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
        """Return the service times of a lane by class."""
        if lane not in self.estimates:
            hold = self.settings.initial_hold
            self.estimates[lane] = defaultdict(lambda: ServiceEstimate(hold))
        return self.estimates[lane]

    def describe_lane(self, lane: Lane) -> LaneState:
        """Return what the estimate of waits needs to know."""
        return LaneState(
            lane,
            self.placement.count_slots(lane.service, lane.model),
            self.classes,
            self.get_estimates(lane),
            self.occupancy,
        )

    def compute_rate(self, entry: ClassQueue) -> float:
        """Return the requests of a class that its slots serve each second."""
        state = self.describe_lane(entry.lane)
        hold = state.estimates[entry.work_class.name].hold
        share = state.slots * entry.work_class.share
        return share / max(hold, LEAST_HOLD_SECONDS)

    def count_slots(self, entry: ClassQueue, now: float) -> int:
        """Return the lane's slots, less those kept for the first class."""
        slots = self.placement.count_slots(entry.lane.service, entry.lane.model)
        seen_at = self.first_seen_at.get(entry.lane, float("-inf"))
        is_kept = now - seen_at < self.settings.reserve_memory
        if not is_kept or self.is_top_class(entry.work_class):
            return slots
        kept = math.ceil(slots * self.settings.reserve)
        return slots - min(slots - 1, kept)
