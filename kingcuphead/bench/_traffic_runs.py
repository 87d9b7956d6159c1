"""The runs that are compared: calibration, each policy, and the first class alone."""

import dataclasses
import enum
import random
from typing import Any

from kingcuphead.bench._traffic_baselines import Choice, FirstComeRouter
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

#: Length of a calibration, in seconds.
CALIBRATION_SECONDS = 60.0
#: The time before the burst, in seconds.
LEAD_SECONDS = 20.0
#: The burst, in seconds.
BURST_SECONDS = 60.0
#: The time after the burst, in seconds.
TAIL_SECONDS = 60.0
#: The burst's first part, which the counts leave out, in seconds.
RAMP_SECONDS = 10.0
#: Load before and after the burst, relative to capacity.
CALM_LOAD = 0.5


class Policy(enum.StrEnum):
    """A way to route."""

    KINGCUPHEAD = "kingcuphead"
    ROUND_ROBIN = "round robin"
    LEAST_REPORTED = "least reported load"


@dataclasses.dataclass(frozen=True, slots=True)
class RunPlan:
    """One run."""

    #: Engines and classes.
    deployment: Deployment
    #: Number of routers.
    daemons: int
    #: Way to route.
    policy: Policy
    #: Load of the burst, relative to capacity.
    load: float
    #: Seed of arrivals, balancer and delays.
    seed: int
    #: Whether only the first class sends requests.
    is_alone: bool = False
    #: Whether one engine leaves in the middle of the burst.
    has_leaving: bool = False
    #: Whether the engines interrupt work for work of a higher priority.
    is_preemptive: bool = True

    def with_changes(self, **changes: Any) -> "RunPlan":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """What a run showed."""

    #: The run.
    plan: RunPlan
    #: What became of each request.
    records: tuple[Record, ...]
    #: Seconds from an engine's leaving to the last placement on it.
    leaving_seconds: float | None


def measure_rates(deployment: Deployment) -> dict[str, float]:
    """Return the answers a second of all engines saturated by each class alone."""
    return {
        load.work_class.name: deployment.engines * measure_rate(deployment, load)
        for load in deployment.loads
    }


def measure_rate(deployment: Deployment, load: ClassLoad) -> float:
    """Return the answers a second of one engine that never lacks requests.

    Its requests have the prefixes that rendezvous hashing would send to it.
    """
    clock = VirtualClock()
    engine = Engine("engine-0", clock)
    source = random.Random(f"calibration-{load.work_class.name}")
    finished: list[float] = []

    def submit() -> None:
        job = draw_own_job(deployment, load, source)
        engine.submit(Sequence(job, 0, on_start=lambda _: None, on_finish=end))

    def end() -> None:
        finished.append(clock.now)
        clock.schedule(0.0, submit)

    for _ in range(2 * BATCH_SIZE):
        clock.schedule(0.0, submit)
    clock.run_until(CALIBRATION_SECONDS)
    counted = [at for at in finished if at > RAMP_SECONDS]
    return len(counted) / (CALIBRATION_SECONDS - RAMP_SECONDS)


def draw_own_job(deployment: Deployment, load: ClassLoad, source: random.Random) -> Job:
    """Draw a request whose prefix belongs to the first engine."""
    names = list_engines(deployment)
    for _ in range(1000):
        job = create_job(deployment, load, "calibration", 0.0, source)
        key = encode_key(job.prefix_key)
        if max(names, key=lambda name: compute_score(key, name)) == names[0]:
            return job
    return job


def build_routers(plan: RunPlan) -> list[Router]:
    """Return the daemons' machines of a run."""
    numbers = range(plan.daemons)
    match plan.policy:
        case Policy.KINGCUPHEAD:
            return [build_scheduler(plan, number) for number in numbers]
        case Policy.ROUND_ROBIN:
            return [FirstComeRouter(Choice.ROUND_ROBIN) for _ in numbers]
        case Policy.LEAST_REPORTED:
            return [FirstComeRouter(Choice.LEAST_REPORTED) for _ in numbers]


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
    """Carry out one run."""
    phases = (
        Phase(LEAD_SECONDS, CALM_LOAD),
        Phase(BURST_SECONDS, plan.load),
        Phase(TAIL_SECONDS, CALM_LOAD),
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
        fleet.clock.schedule(leaves_at, lambda: fleet.leave("engine-1"))
    fleet.run(jobs, LEAD_SECONDS + BURST_SECONDS + TAIL_SECONDS)
    leaving_seconds = None
    if fleet.left_at is not None:
        leaving_seconds = max(0.0, fleet.last_placed_after_leaving - fleet.left_at)
    return RunResult(plan, tuple(fleet.records.values()), leaving_seconds)
