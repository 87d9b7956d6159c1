"""Whole daemons whose datagrams and engines are played, in virtual time.

A seed determines a play: no decision depends on the clock, on the process's own random
numbers or on the order of a set.
"""

import asyncio
import dataclasses
import random
from unittest import mock

from tornado.httputil import HTTPHeaders

from kingcuphead.entry._daemon import EntryDaemon
from kingcuphead.forwarding import (
    CallerRequest,
    PromptPart,
    PromptSize,
    Refusal,
    RequestMemory,
)
from kingcuphead.forwarding._attempt import StreamDelivered
from kingcuphead.forwarding._events import Event
from kingcuphead.forwarding._messages import AnswerHead
from kingcuphead.platform import Profile
from kingcuphead.platform._profile import Endpoint, RetryBudget
from kingcuphead.routing import (
    CallerLimits,
    EngineProfile,
    RequestKind,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)
from kingcuphead.targets import Availability, Target
from kingcuphead.timing import _ticks

SLOTS = 16
CAPACITY = 421_629
STEP_SECONDS = 0.00289
EVENTS = 38
OBJECTIVE, TIMEOUT = 0.845, 12.7
#: Prompt tokens that an engine processes in a second.
PREFILL_RATE = 55_000.0
#: Bounds of the delay of a datagram in seconds.
MIN_DELAY, MAX_DELAY = 0.0005, 0.005
ZONES = 4
PORT = 7001

HEAD = AnswerHead(200, HTTPHeaders(), "", False, True, False, False, False, None)


def make_configuration(capacity=CAPACITY):
    route = Route(
        name="chat",
        host="h",
        prefix="/",
        kind=RequestKind.STREAM,
        services=(WeightedService("pool", 1),),
        timeout=TIMEOUT,
        objective=OBJECTIVE,
        event_gap_objective=0.4,
        rank=0,
        max_attempts=2,
        is_anonymous=True,
        is_resumable=True,
    )
    service = Service("pool", 100, EngineProfile(SLOTS, capacity, 1))
    return RoutingConfiguration(1, (route,), {"pool": service}, {}, {}, CallerLimits())


class PlayedEngine:
    """Processes prompts one after the other, and generates events of many at once."""

    def __init__(self):
        self._slots = asyncio.Semaphore(SLOTS)
        self._prefill_ends_at = 0.0
        self._prefixes = set()
        self.held_tokens = self.max_held_tokens = 0

    async def run(self, size, begin):
        """Run a request; `begin` is called with its first event."""
        tokens = size.prompt_tokens + size.output_tokens
        self.held_tokens += tokens
        self.max_held_tokens = max(self.max_held_tokens, self.held_tokens)
        loop = asyncio.get_running_loop()
        try:
            async with self._slots:
                start = max(loop.time(), self._prefill_ends_at)
                seconds = self._count_unread(size) / PREFILL_RATE
                self._prefill_ends_at = start + seconds
                await asyncio.sleep(self._prefill_ends_at - loop.time())
                begin()
                await asyncio.sleep(EVENTS * STEP_SECONDS)
        finally:
            self.held_tokens -= tokens

    def _count_unread(self, size):
        key = tuple(part.name for part in size.parts[:-1])
        if not key or key not in self._prefixes:
            self._prefixes.add(key)
            return size.prompt_tokens
        return size.parts[-1].tokens


class PlayedRunner:
    """Sends attempts to played engines."""

    def __init__(self, engines):
        self._engines = engines

    async def run(self, attempt, stream):
        event = Event(1, b"id: 1\ndata: x\n\n")
        await self._engines[attempt.address].run(
            attempt.request.size, lambda: stream.deliver(HEAD, [event])
        )
        stream.finish(HEAD)
        return StreamDelivered(HEAD)


class PlayedCaller:
    """Takes the events of one request and notes when the first one came."""

    is_congested = False

    def __init__(self):
        self.reservation = RequestMemory().open()
        self.started_at = 0.0

    @property
    def is_started(self):
        return bool(self.started_at)

    def start(self, status, headers):
        assert status == 200
        self.started_at = asyncio.get_running_loop().time()

    def send(self, chunk):
        pass

    async def drain(self):
        pass

    def finish(self):
        pass

    def abort(self):
        raise AssertionError("an answer was aborted")


@dataclasses.dataclass
class Outcome:
    """What the caller of one request got."""

    tokens: int
    refusal: Refusal | None
    #: Seconds to the first event, or to the refusal.
    seconds: float


class PlayedDaemons:
    """Daemons that share some engines.

    Parameters
    ----------
    daemons
        Number of daemons.
    engines
        Number of engines.
    is_bounded
        Whether the memory of engines is bounded.
    seed
        Seed of all random choices.
    """

    def __init__(self, daemons, engines, is_bounded, seed=1):
        self._seed = seed
        self._rng = random.Random(seed)
        #: Share of the datagrams that are lost.
        self.loss = 0.0
        self._outbox = []
        # Otherwise the ticks of daemons differ in each process.
        phase = random.Random(f"phase/{seed}").random()
        self._phase = mock.patch.object(_ticks, "PHASE", phase)
        #: Number of datagrams by the name of their type.
        self.datagrams: dict[str, int] = {}
        self.outcomes: list[Outcome] = []
        self._requests: list[asyncio.Task[None]] = []
        self._number = 0
        self.targets = [
            Target(
                f"e{number}",
                "pool",
                f"10.1.0.{number}:80",
                f"z{number % ZONES}",
                SLOTS,
                Availability.READY,
                1,
            )
            for number in range(engines)
        ]
        self.engines = {each.address: PlayedEngine() for each in self.targets}
        self.daemons = {}
        for number in range(daemons):
            address = (f"10.0.0.{number}", PORT)
            self.daemons[address] = self._make_daemon(number, address, is_bounded)
        self._tasks = [
            asyncio.create_task(each)
            for daemon in self.daemons.values()
            for each in (daemon._links._loads.run(), daemon._links.permits.run())
        ]

    def _make_daemon(self, number, address, is_bounded):
        profile = Profile(
            instance=f"i{number}",
            zone=f"z{number % ZONES}",
            ip=address[0],
            callers=Endpoint(address[0], 1),
            readiness=Endpoint(address[0], 2),
            internal_port=PORT,
            store=Endpoint("10.9.0.1", 1),
            max_descriptors=4_096,
            grace=8.0,
            drain=2.0,
            retries=RetryBudget(0.2, 174, 10.0),
            has_scarce_capacity=True,
            engines_crash_when_full=is_bounded,
        )
        daemon = EntryDaemon(profile, "")
        # All parts of a daemon share one source of randomness.
        daemon._dispatcher._rng.seed(f"{self._seed}/{number}")

        def send(message, *receivers):
            self._send(address, message, receivers)

        vars(daemon._links._datagrams)["send"] = send
        daemon._links.permits._send = send
        runner = PlayedRunner(self.engines)
        vars(daemon._forwarder._dependencies.runner)["run"] = runner.run
        return daemon

    def _send(self, sender, message, receivers):
        name = type(message).__name__
        self.datagrams[name] = self.datagrams.get(name, 0) + len(receivers)
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._deliver)
        self._outbox.extend((sender, each, message) for each in receivers)

    def _deliver(self):
        """Deliver what was sent in one step of the loop, by sender and receiver.

        Daemons send to the members of a set, whose order differs in each process.
        """
        loop = asyncio.get_running_loop()
        datagrams = sorted(self._outbox, key=lambda each: each[:2])
        self._outbox.clear()
        for sender, receiver, message in datagrams:
            if self._rng.random() < self.loss:
                continue
            delay = self._rng.uniform(MIN_DELAY, MAX_DELAY)
            handle = self.daemons[receiver]._links._handle_datagram
            loop.call_later(delay, handle, message, sender)

    async def start(self, capacity=CAPACITY, seconds=6.0):
        """Apply the configuration, and wait until the daemons know each other."""
        self._phase.start()
        for address, daemon in self.daemons.items():
            daemon._directory.record_read(0.0)
            for target in self.targets:
                list(daemon._directory.put(target))
            daemon._apply_configuration(make_configuration(capacity))
            peers = tuple(each for each in self.daemons if each != address)
            daemon._links._apply_peers(peers)
        await asyncio.sleep(seconds)

    async def offer(self, seconds, per_second, make_size):
        """Send requests to random daemons; three of them get a quarter."""
        loop = asyncio.get_running_loop()
        rng = random.Random(f"arrivals/{self._seed}")
        addresses = list(self.daemons)
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(per_second))
            is_busy = rng.random() < 0.25
            address = rng.choice(addresses[:3] if is_busy else addresses)
            request = self._request(self.daemons[address], make_size(rng))
            self._requests.append(asyncio.create_task(request))

    async def finish(self):
        """Wait for all requests, and stop the daemons."""
        try:
            await asyncio.gather(*self._requests)
        finally:
            self._phase.stop()
        for task in self._tasks:
            task.cancel()

    async def _request(self, daemon, size):
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        self._number += 1
        name = f"r{self._number}"
        request = CallerRequest(
            request_id=name,
            method="POST",
            uri=f"/{name}",
            host="h",
            headers=HTTPHeaders(),
            body=name.encode() * 500,
            key="",
            timeout=None,
            size=size,
            resume_after=0,
            arrived_at=arrived_at,
        )
        caller = PlayedCaller()
        refusal = await daemon._forwarder.serve(request, caller)
        ended_at = loop.time() if refusal is not None else caller.started_at
        tokens = size.prompt_tokens + size.output_tokens
        self.outcomes.append(Outcome(tokens, refusal, ended_at - arrived_at))

    @property
    def max_held_tokens(self):
        """Most tokens that an engine held."""
        return max(each.max_held_tokens for each in self.engines.values())

    def list_waits(self):
        """Return the sorted seconds to the first events."""
        return sorted(each.seconds for each in self.outcomes if not each.refusal)

    def list_refused(self):
        return [each for each in self.outcomes if each.refusal]


def make_size(rng):
    """Return a prompt: half of them short, others of 12,000 tokens on average."""
    session = PromptPart(f"s{rng.randrange(400)}", 300)
    own = rng.randrange(200, 1_200)
    if rng.random() < 0.5:
        own = min(69_000, int(2_000 + rng.expovariate(1 / 10_000)))
    parts = (session, PromptPart("own", own))
    return PromptSize(session.tokens + own, EVENTS, parts)


def make_large_size(rng):
    """Return a prompt of 23,000 tokens on average, which shares nothing."""
    own = min(70_000, int(3_000 + rng.expovariate(1 / 20_000)))
    return PromptSize(own, EVENTS, (PromptPart("own", own),))
