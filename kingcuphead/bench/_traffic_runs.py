"""Calibration and simulated runs of the routing policies."""

import dataclasses
import enum
import random
from typing import Any

from kingcuphead.bench._traffic_baselines import Choice, FifoRouter
from kingcuphead.bench._traffic_clock import VirtualClock
from kingcuphead.bench._traffic_engine import BATCH_SIZE, Engine, Sequence
from kingcuphead.bench._traffic_fleet import Fleet, Record, Router, list_engines
from kingcuphead.bench._traffic_workload import (
    ClassLoad,
    Deployment,
    Job,
    Phase,
    create_job,
    generate_jobs,
)
from kingcuphead.placement import PlacementSettings, compute_score, encode_key
from kingcuphead.queueing import Scheduler, SchedulerSettings

#: Duration of a calibration, in virtual seconds.
CALIBRATION_SECONDS = 60.0
#: Duration of the load before the burst, in virtual seconds.
LEAD_SECONDS = 20.0
#: Duration of the burst, in virtual seconds.
BURST_SECONDS = 60.0
#: Duration of the load after the burst, in virtual seconds.
TAIL_SECONDS = 60.0
#: First part of the burst and of a calibration, excluded from the statistics, in
#: virtual seconds.
RAMP_SECONDS = 10.0
#: Load before and after the burst, relative to capacity.
BASE_LOAD = 0.5


class Policy(enum.StrEnum):
    """Routing policy of a run: the scheduler or a baseline."""

    #: The product's scheduler.
    KINGCUPHEAD = "kingcuphead"
    #: Baseline that uses each free target in turn.
    ROUND_ROBIN = "round robin"
    #: Baseline that uses the free target with the lowest reported load.
    LEAST_REPORTED = "least reported load"


@dataclasses.dataclass(frozen=True, slots=True)
class RunPlan:
    """Parameters of one run."""

    #: Engines, organisations and classes.
    deployment: Deployment
    #: Number of routers.
    daemons: int
    #: Routing policy of the daemons.
    policy: Policy
    #: Load of the burst, relative to capacity.
    load: float
    #: Seed of the arrivals, the load balancer and the delays.
    seed: int
    #: Whether only the first class sends requests.
    is_alone: bool = False
    #: Whether one engine starts leaving in the middle of the burst.
    has_leaving: bool = False
    #: Whether the engines preempt running requests of a lower priority.
    is_preemptive: bool = True

    def with_changes(self, **changes: Any) -> "RunPlan":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Results of one run."""

    #: Parameters of the run.
    plan: RunPlan
    #: Outcome of each request, in the order of arrival.
    records: tuple[Record, ...]
    #: Seconds from the start of an engine's leaving to the last placement on it; None
    #: if no engine left.
    leaving_seconds: float | None


def measure_rates(deployment: Deployment) -> dict[str, float]:
    """Return the answers per second of all engines, saturated by each class alone."""
    return {
        load.work_class.name: deployment.engines * measure_rate(deployment, load)
        for load in deployment.loads
    }


def measure_rate(deployment: Deployment, load: ClassLoad) -> float:
    """Return the answers per second of one engine saturated by one class.

    Its requests have prefixes for which it is the preferred target.
    """
    clock = VirtualClock()
    engine = Engine("engine-0", clock)
    rng = random.Random(f"calibration-{load.work_class.name}")
    finished: list[float] = []

    def submit() -> None:
        job = create_preferred_job(deployment, load, rng)
        engine.submit(Sequence(job, 0, on_start=lambda _: None, on_finish=end))

    def end() -> None:
        finished.append(clock.now)
        clock.schedule(0.0, submit)

    for _ in range(2 * BATCH_SIZE):
        clock.schedule(0.0, submit)
    clock.run_until(CALIBRATION_SECONDS)
    counted = [at for at in finished if at > RAMP_SECONDS]
    return len(counted) / (CALIBRATION_SECONDS - RAMP_SECONDS)


def create_preferred_job(
    deployment: Deployment, load: ClassLoad, rng: random.Random
) -> Job:
    """Create a request whose prefix has the first engine as its preferred target.

    Falls back to any prefix after 1000 attempts.
    """
    names = list_engines(deployment)
    for _ in range(1000):
        job = create_job(deployment, load, "calibration", 0.0, rng)
        key = encode_key(job.prefix_key)
        if max(names, key=lambda name: compute_score(key, name)) == names[0]:
            return job
    return job


def build_routers(plan: RunPlan) -> list[Router]:
    """Return a router for each daemon of a run."""
    numbers = range(plan.daemons)
    match plan.policy:
        case Policy.KINGCUPHEAD:
            return [build_scheduler(plan, number) for number in numbers]
        case Policy.ROUND_ROBIN:
            return [FifoRouter(Choice.ROUND_ROBIN) for _ in numbers]
        case Policy.LEAST_REPORTED:
            return [FifoRouter(Choice.LEAST_REPORTED) for _ in numbers]


def build_scheduler(plan: RunPlan, number: int) -> Scheduler:
    """Return the scheduler of one daemon."""
    zones = plan.deployment.zones
    placement = PlacementSettings(zone=zones[number % len(zones)])
    return Scheduler(
        SchedulerSettings(placement=placement),
        f"daemon-{number}",
        random.Random(f"{plan.seed}-{number}"),
    )


def run(plan: RunPlan, rates: dict[str, float]) -> RunResult:
    """Simulate one run."""
    phases = (
        Phase(LEAD_SECONDS, BASE_LOAD),
        Phase(BURST_SECONDS, plan.load),
        Phase(TAIL_SECONDS, BASE_LOAD),
    )
    first = plan.deployment.loads[0].work_class.name
    jobs = [
        job
        for job in generate_jobs(plan.deployment, phases, rates, plan.seed)
        if not plan.is_alone or job.work_class == first
    ]
    fleet = Fleet(plan.deployment, build_routers(plan), plan.seed, plan.is_preemptive)
    if plan.has_leaving:
        leaves_at = LEAD_SECONDS + BURST_SECONDS / 2
        fleet.clock.schedule(leaves_at, lambda: fleet.start_leaving("engine-1"))
    fleet.run(jobs, LEAD_SECONDS + BURST_SECONDS + TAIL_SECONDS)
    leaving_seconds = None
    if fleet.leaving_since is not None:
        leaving_seconds = max(
            0.0, fleet.last_placed_after_leaving - fleet.leaving_since
        )
    return RunResult(plan, tuple(fleet.records.values()), leaving_seconds)
