"""Plays arrivals against fake targets on a loop whose time jumps to the next timer."""

import asyncio
import dataclasses
import itertools
import random
import selectors

from kingcuphead.admission import (
    AdmissionGate,
    AdmissionRequest,
    Admitted,
    QueueBounds,
    Refused,
)
from kingcuphead.dispatch import (
    AttemptResult,
    Dispatcher,
    DispatchSettings,
    PlacementRequest,
)
from kingcuphead.loads import LoadsReported, PeerLoads
from kingcuphead.targets import Availability, Target

SERVICE = "pool"


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that never waits."""

    def __init__(self):
        self.now = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self):
        return self.now


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self._loop.now += max(0.0, timeout)
        return super().select(0)


def play(scenario):
    """Run a coroutine on a loop with virtual time and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(scenario)
    finally:
        loop.close()


@dataclasses.dataclass(frozen=True)
class Profile:
    """A service: by default the engines of a small fleet."""

    targets: int = 8
    slots: int = 4
    work: float = 0.25
    #: Seconds of work for each token.
    work_per_token: float = 0.0
    objective: float = 0.845
    timeout: float = 12.7
    #: Share of the work after which the answer begins.
    first_share: float = 1.0
    #: Whether the targets are engines.
    has_tokens: bool = True
    is_queued: bool = True
    daemons: int = 1

    @property
    def capacity(self):
        """Requests a second."""
        return self.targets * self.slots / self.work

    def list_targets(self):
        return tuple(
            Target(
                f"t{number}",
                SERVICE,
                f"10.0.0.{number}:80",
                "z",
                self.slots,
                Availability.READY,
                1,
            )
            for number in range(self.targets)
        )


@dataclasses.dataclass
class Outcome:
    """What the caller of one request got."""

    organisation: str
    rank: int
    tokens: int
    arrived_at: float
    ended_at: float = 0.0
    refused: Refused | None = None
    is_in_time: bool = False
    waited: float = 0.0

    @property
    def is_served(self):
        return self.refused is None

    @property
    def seconds(self):
        return self.ended_at - self.arrived_at


class Service:
    """One daemon, and targets that run as many requests as they have slots.

    Parameters
    ----------
    profile
        The service.
    places
        Places at the targets of another daemon that uses the same ones.
    """

    def __init__(self, profile, places=None):
        self.profile = profile
        self.targets = profile.list_targets()
        self.peer_loads = PeerLoads()
        # As in the daemon, targets are chosen by their room where requests are queued.
        settings = DispatchSettings("z", spreads_load=profile.is_queued)
        self.dispatcher = Dispatcher(settings, self.peer_loads, random.Random(1))
        self.dispatcher.daemons = profile.daemons
        self.gate = AdmissionGate(self.dispatcher, QueueBounds(profile.daemons))
        self.places = places or {
            target.name: asyncio.Semaphore(target.slots) for target in self.targets
        }
        self.numbers = itertools.count()
        self.outcomes = []
        self.group = ""

    def list_candidates(self):
        return self.targets

    def make_placement_request(self):
        tokens = 1 if self.profile.has_tokens else 0
        return PlacementRequest(
            SERVICE, prompt_tokens=tokens, objective=self.profile.objective
        )

    def make_request(self, outcome, fingerprint, body_bytes, timeout):
        now = asyncio.get_running_loop().time()
        number = next(self.numbers)
        return AdmissionRequest(
            request_id=str(number),
            service=SERVICE,
            organisation=outcome.organisation,
            rank=outcome.rank,
            size=outcome.tokens,
            body_bytes=body_bytes,
            fingerprint=fingerprint or f"f{number}",
            arrived_at=now,
            objective_ends_at=now + self.profile.objective,
            deadline=now + (timeout or self.profile.timeout),
            answer_seconds=self.gate.answer_times.estimate(SERVICE, outcome.tokens),
        )

    async def send(
        self,
        organisation="a",
        rank=0,
        tokens=1,
        fingerprint="",
        body_bytes=100,
        timeout=None,
    ):
        """Send one request and return its outcome."""
        loop = asyncio.get_running_loop()
        outcome = Outcome(organisation, rank, tokens, loop.time())
        self.outcomes.append(outcome)
        request = self.make_request(outcome, fingerprint, body_bytes, timeout)
        if self.profile.is_queued:
            decision = await self.gate.enter(request, self)
            outcome.waited = loop.time() - outcome.arrived_at
            if not isinstance(decision, Admitted):
                outcome.refused = decision
                outcome.ended_at = loop.time()
                return outcome
        await self._run(outcome)
        return outcome

    async def _run(self, outcome):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        placement = self.dispatcher.place(
            self.make_placement_request(), self.targets, (), began_at
        )
        assert placement is not None
        work = self.profile.work + self.profile.work_per_token * outcome.tokens
        async with self.places[placement.target.name]:
            await asyncio.sleep(work * self.profile.first_share)
            outcome.ended_at = loop.time()
            outcome.is_in_time = outcome.seconds <= self.profile.objective
            await asyncio.sleep(work * (1 - self.profile.first_share))
        self.dispatcher.record_result(placement, AttemptResult.ANSWERED, loop.time())
        self.gate.answer_times.record(
            SERVICE, outcome.tokens, outcome.ended_at - began_at
        )
        self.gate.wake(SERVICE)


async def exchange_loads(services, rng, share=0.6):
    """Report loads every 0.1 s to a part of the other daemons, until cancelled."""
    for number in itertools.count(1):
        now = asyncio.get_running_loop().time()
        for index, service in enumerate(services):
            loads = tuple(service.dispatcher.list_loads())
            report = LoadsReported(f"d{index}", number, loads)
            for other in services:
                if other is not service and rng.random() < share:
                    other.peer_loads.apply_report(report, now)
                    other.gate.wake_soon()
            service.peer_loads.expire(now)
        await asyncio.sleep(0.1)


async def arrive(service, rate, seconds, rng, tasks, **values):
    """Send requests at random times with a mean rate; append their tasks."""
    end = asyncio.get_running_loop().time() + seconds
    while True:
        await asyncio.sleep(rng.expovariate(rate))
        if asyncio.get_running_loop().time() >= end:
            return
        chosen = {
            name: value(rng) if callable(value) else value
            for name, value in values.items()
        }
        tasks.append(asyncio.create_task(service.send(**chosen)))


def play_arrivals(profile, seconds, arrivals, seed=1, extra=0.0):
    """Play groups of arrivals side by side and return the outcomes.

    Parameters
    ----------
    profile
        The service.
    seconds
        Length of the arrivals; the outcomes are complete.
    arrivals
        Pairs of a rate and the values of the requests.
    seed
        Seed of the arrivals and of the reports that are lost.
    extra
        Rate of further requests to the first daemon.
    """

    async def scenario():
        services = [Service(profile)]
        for _ in range(profile.daemons - 1):
            services.append(Service(profile, services[0].places))
        tasks: list[asyncio.Task[Outcome]] = []
        exchange = asyncio.create_task(exchange_loads(services, random.Random(seed)))
        groups = [
            arrive(
                service,
                rate / len(services),
                seconds,
                random.Random(f"{seed}/{index}/{number}"),
                tasks,
                **values,
            )
            for index, (rate, values) in enumerate(arrivals)
            for number, service in enumerate(services)
        ]
        if extra:
            rng = random.Random(f"{seed}/extra")
            groups.append(arrive(services[0], extra, seconds, rng, tasks))
        await asyncio.gather(*groups)
        await asyncio.gather(*tasks)
        exchange.cancel()
        return [outcome for service in services for outcome in service.outcomes]

    return play(scenario())


def compute_share(outcomes, is_counted):
    outcomes = list(outcomes)
    return sum(map(is_counted, outcomes)) / max(1, len(outcomes))
