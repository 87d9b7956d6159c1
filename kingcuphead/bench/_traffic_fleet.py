"""Simulated fleet of routers and engines, in virtual time."""

import dataclasses
import random
from collections.abc import Iterable
from functools import partial
from types import MappingProxyType
from typing import Protocol

from kingcuphead.bench._traffic_clock import VirtualClock
from kingcuphead.bench._traffic_engine import BATCH_SIZE, Engine, Sequence
from kingcuphead.bench._traffic_workload import Deployment, Job
from kingcuphead.placement import (
    AnswerResult,
    ProbeRequested,
    StateSource,
    TargetState,
    TargetStateChanged,
)
from kingcuphead.queueing import (
    AnswerFinished,
    AnswerStarted,
    ConfigurationApplied,
    DaemonsCounted,
    Effect,
    LoadReported,
    ProbeAnswered,
    RequestArrived,
    RequestPlaced,
    RequestRejected,
    RequestWithdrawn,
    SchedulerMessage,
    TargetReported,
    Ticked,
)
from kingcuphead.records import Configuration, Organisation, Target

#: One-way network delay between a router and a target, in seconds.
NETWORK_SECONDS = 0.0015
#: Time between two load reports of a target, in seconds.
REPORT_SECONDS = 1.0
#: Delay of a load report, in seconds.
REPORT_LAG_SECONDS = 1.0
#: Minimum delay until the platform's instance list shows a target as leaving, in
#: seconds.
LIST_LAG_SECONDS = 8.0
#: Maximum delay of a message between routers, in seconds.
GOSSIP_SECONDS = 0.25
#: Time between two ticks of a router, in seconds.
TICK_SECONDS = 0.25


class Router(Protocol):
    """Interface of the scheduler and of the baseline routers."""

    def receive(self, message: SchedulerMessage, now: float) -> tuple[Effect, ...]:
        """Process a message and return the effects."""


@dataclasses.dataclass(slots=True)
class Record:
    """Outcome of one request."""

    #: Request as the caller sent it.
    job: Job
    #: Seconds from arrival to the first token; None without one.
    first_token: float | None = None
    #: Virtual time in seconds at which the answer was complete; None if it never was.
    finished_at: float | None = None
    #: Seconds from arrival to a refusal; None without one.
    refused_after: float | None = None
    #: Whether the engine had the prompt's prefix in its cache.
    is_hit: bool = False

    @property
    def is_useful(self) -> bool:
        """Whether the answer was complete and started before the deadline."""
        if self.first_token is None or self.finished_at is None:
            return False
        return self.first_token <= self.job.caller_timeout


class Fleet:
    """Simulation of routers, engines and the messages between them.

    Parameters
    ----------
    deployment : Deployment
        Engines, organisations and classes.
    routers : list of Router
        One state machine per daemon.
    seed : int
        Seed of the load balancer and of the message delays.
    is_preemptive : bool
        Whether the engines preempt running requests of a lower priority.
    """

    def __init__(
        self,
        deployment: Deployment,
        routers: list[Router],
        seed: int,
        is_preemptive: bool = True,
    ) -> None:
        self.clock = VirtualClock()
        self.records: dict[str, Record] = {}
        self.leaving_since: float | None = None
        self.last_placed_after_leaving = 0.0
        self._deployment = deployment
        self._routers = routers
        self._rng = random.Random(f"fleet-{seed}")
        self._sequences: dict[str, Sequence] = {}
        self._leaving = ""
        self.engines = {
            name: Engine(name, self.clock, is_preemptive)
            for name in list_engines(deployment)
        }

    def run(self, jobs: Iterable[Job], end: float) -> None:
        """Run the requests until the virtual time `end`, in seconds."""
        configuration = build_configuration(self._deployment)
        for router in range(len(self._routers)):
            self._send(router, ConfigurationApplied(configuration))
            self._send(router, DaemonsCounted(len(self._routers)))
            offset = self._rng.uniform(0, TICK_SECONDS)
            self.clock.schedule(offset, partial(self._tick, router))
        for engine in self.engines.values():
            offset = self._rng.uniform(0, REPORT_SECONDS)
            self.clock.schedule(offset, partial(self._report, engine))
        for job in jobs:
            self.clock.schedule(job.arrives_at, partial(self._arrive, job))
        self.clock.run_until(end)

    def start_leaving(self, name: str) -> None:
        """Let an engine refuse new requests, and list it as leaving after a delay."""
        self.engines[name].is_leaving = True
        self._leaving = name
        self.leaving_since = self.clock.now
        message = TargetReported(name, TargetState.LEAVING, StateSource.LIST)
        for router in range(len(self._routers)):
            lag = LIST_LAG_SECONDS + self._rng.uniform(0, 1)
            self._send_later(lag, router, message)

    def _send(self, router: int, message: SchedulerMessage) -> None:
        for effect in self._routers[router].receive(message, self.clock.now):
            self._execute(router, effect)

    def _send_later(self, delay: float, router: int, message: SchedulerMessage) -> None:
        self.clock.schedule(delay, partial(self._send, router, message))

    def _tick(self, router: int) -> None:
        self._send(router, Ticked())
        self.clock.schedule(TICK_SECONDS, partial(self._tick, router))

    def _report(self, engine: Engine) -> None:
        message = LoadReported(
            engine.name, engine.running, engine.waiting, self.clock.now
        )
        for router in range(len(self._routers)):
            self._send_later(REPORT_LAG_SECONDS, router, message)
        self.clock.schedule(REPORT_SECONDS, partial(self._report, engine))

    def _arrive(self, job: Job) -> None:
        self.records[job.job_id] = Record(job)
        router = self._rng.randrange(len(self._routers))
        self.clock.schedule(job.caller_timeout, partial(self._disconnect, router, job))
        self._send(router, build_arrival(job))

    def _disconnect(self, router: int, job: Job) -> None:
        record = self.records[job.job_id]
        if record.first_token is not None or record.refused_after is not None:
            return
        self._send(router, RequestWithdrawn(job.job_id))
        sequence = self._sequences.pop(job.job_id, None)
        if sequence is not None:
            sequence.is_cancelled = True
            sequence.on_finish()

    def _execute(self, router: int, effect: Effect) -> None:
        match effect:
            case RequestPlaced():
                self._place(router, effect)
            case RequestRejected(request_id, _):
                record = self.records[request_id]
                record.refused_after = self.clock.now - record.job.arrives_at
            case ProbeRequested(target, _):
                is_healthy = not self.engines[target].is_leaving
                message = ProbeAnswered(target, is_healthy)
                self._send_later(2 * NETWORK_SECONDS, router, message)
            case TargetStateChanged(target, state, source):
                self._notify_peers(router, target, state, source)

    def _notify_peers(
        self, router: int, target: str, state: TargetState, source: StateSource
    ) -> None:
        if source is StateSource.PEER:
            return
        message = TargetReported(target, state, StateSource.PEER)
        for peer in range(len(self._routers)):
            if peer != router:
                delay = self._rng.uniform(0, GOSSIP_SECONDS)
                self._send_later(delay, peer, message)

    def _place(self, router: int, placed: RequestPlaced) -> None:
        if placed.target == self._leaving:
            self.last_placed_after_leaving = self.clock.now
        job = self.records[placed.request_id].job
        engine = self.engines[placed.target]
        sequence = Sequence(
            job,
            placed.priority,
            on_start=partial(self._start, router, job),
            on_finish=partial(self._finish, router, job, placed.target),
        )
        self._sequences[job.job_id] = sequence
        delivery = partial(engine.submit, sequence)
        if engine.is_leaving:
            delivery = partial(self._refuse, router, job, placed.target)
        self.clock.schedule(NETWORK_SECONDS, delivery)

    def _refuse(self, router: int, job: Job, target: str) -> None:
        if self._sequences.pop(job.job_id, None) is None:
            # The caller has disconnected since.
            return
        report = TargetReported(target, TargetState.LEAVING, StateSource.ANSWER)
        self._send_later(NETWORK_SECONDS, router, report)
        refused = AnswerFinished(job.job_id, target, AnswerResult.REFUSED)
        self._send_later(NETWORK_SECONDS, router, refused)
        retry = build_arrival(job).with_changes(excluded=(target,))
        self._send_later(NETWORK_SECONDS, router, retry)

    def _start(self, router: int, job: Job, is_hit: bool) -> None:
        record = self.records[job.job_id]
        record.is_hit = is_hit
        # The caller receives the first token one network delay later.
        record.first_token = self.clock.now + NETWORK_SECONDS - job.arrives_at
        self._send_later(NETWORK_SECONDS, router, AnswerStarted(job.job_id))

    def _finish(self, router: int, job: Job, target: str) -> None:
        sequence = self._sequences.pop(job.job_id, None)
        result = AnswerResult.CANCELLED
        if sequence is not None:
            self.records[job.job_id].finished_at = self.clock.now
            result = AnswerResult.WHOLE
        finished = AnswerFinished(job.job_id, target, result)
        self._send_later(NETWORK_SECONDS, router, finished)


def list_engines(deployment: Deployment) -> list[str]:
    """Return the names of a deployment's engines."""
    return [f"engine-{number}" for number in range(deployment.engines)]


def build_arrival(job: Job) -> RequestArrived:
    """Return the arrival message of a request."""
    return RequestArrived(
        request_id=job.job_id,
        organisation=job.organisation,
        work_class=job.work_class,
        service="pool",
        model="model",
        size=job.prompt_tokens + job.output_tokens,
        deadline=job.arrives_at + job.caller_timeout,
        affinity_key=job.prefix_key,
        fingerprint=job.job_id,
    )


def build_configuration(deployment: Deployment) -> Configuration:
    """Return the configuration of a deployment."""
    targets = (
        Target(
            name=f"engine-{number}",
            service="pool",
            address=f"127.0.0.1:{9000 + number}",
            zone=deployment.zones[number % len(deployment.zones)],
            models=("model",),
            concurrency=BATCH_SIZE,
        )
        for number in range(deployment.engines)
    )
    organisations = (
        Organisation(name, (), "budget", ("model",))
        for name in deployment.organisations
    )
    classes = (load.work_class for load in deployment.loads)
    return Configuration(
        revision=1,
        organisations=MappingProxyType({entry.name: entry for entry in organisations}),
        classes=MappingProxyType({entry.name: entry for entry in classes}),
        targets=MappingProxyType({entry.name: entry for entry in targets}),
    )
