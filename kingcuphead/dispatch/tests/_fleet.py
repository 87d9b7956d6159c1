"""Daemons that place requests on engines, each with what it knows, in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import statistics
from collections import Counter

from kingcuphead.dispatch import (
    AttemptResult,
    Dispatcher,
    PlacementRequest,
    SharedPrefix,
)
from kingcuphead.loads import LoadsReported, PeerLoads, PlacementAnnounced
from kingcuphead.loads._changes import LoadChanges
from kingcuphead.targets import Availability, Target

SLOTS = 16
OBJECTIVE = 0.845
STEP_SECONDS = 0.00289
EVENTS = 38
BODY_BYTES = 3_200
#: Prompt tokens that an engine of average speed processes in a second.
PREFILL_RATE = 55_000.0
REPORT_INTERVAL = 0.1
RECEIVERS = 12
#: Seconds that a daemon keeps an idle connection to an engine.
IDLE_SECONDS = 4.0
ZONES = 4
LARGE_TOKENS, SMALL_TOKENS = 4_000, 2_000


def make_targets(count):
    return tuple(
        Target(
            f"e{number}",
            "pool",
            f"10.1.0.{number}:80",
            f"z{number % ZONES}",
            SLOTS,
            Availability.READY,
            1,
        )
        for number in range(count)
    )


@dataclasses.dataclass(eq=False)
class PlayedRequest:
    """A request in the fleet."""

    placement_request: PlacementRequest
    daemon: "PlayedDaemon"
    arrived_at: float
    placement: object = None
    first_event_at: float = 0.0
    prefill_tokens: int = 0


class PlayedEngine:
    """Processes prompts one after the other, and generates events of many at once."""

    def __init__(self, fleet, rate):
        self._fleet = fleet
        self.rate = rate
        self.slowdowns: tuple[tuple[float, float, float], ...] = ()
        self.waiting = []
        self.running = 0
        self.held_tokens = 0
        self.max_held_tokens = 0
        self._prefill_ends_at = 0.0
        self._prefixes = set()

    def add(self, request):
        self.held_tokens += count_tokens(request.placement_request)
        self.max_held_tokens = max(self.max_held_tokens, self.held_tokens)
        self.waiting.append(request)
        self._start_next()

    def _start_next(self):
        while self.waiting and self.running < SLOTS:
            request = self.waiting.pop(0)
            self.running += 1
            start = max(self._fleet.now, self._prefill_ends_at)
            self._prefill_ends_at = self._end_prefill(start, self._count(request))
            self._fleet.schedule(self._prefill_ends_at, self._begin_answer, request)

    def _count(self, request):
        """Return the tokens to process; those of a known prefix aren't."""
        wanted = request.placement_request
        keys = {prefix.key for prefix in wanted.prefixes}
        known = [each.tokens for each in wanted.prefixes if each.key in self._prefixes]
        self._prefixes |= keys
        request.prefill_tokens = wanted.prompt_tokens - max(known, default=0)
        return request.prefill_tokens

    def _end_prefill(self, start, tokens):
        for begin, end, factor in self.slowdowns:
            if begin <= start < end:
                done = (end - start) * self.rate / factor
                if tokens <= done:
                    return start + tokens * factor / self.rate
                return self._end_prefill(end, tokens - done)
        return start + tokens / self.rate

    def _begin_answer(self, request):
        request.first_event_at = self._fleet.now
        request.daemon.record_start(request)
        end = self._fleet.now + EVENTS * STEP_SECONDS
        self._fleet.schedule(end, self._finish, request)

    def _finish(self, request):
        self.running -= 1
        self.held_tokens -= count_tokens(request.placement_request)
        request.daemon.record_end(request)
        self._start_next()


class PlayedDaemon:
    """The parts of a daemon that choose engines."""

    def __init__(self, fleet, number, settings):
        self._fleet = fleet
        self.number = number
        self.address = (f"10.0.0.{number}", 1)
        self.peer_loads = PeerLoads()
        zone = f"z{number % ZONES}"
        settings = dataclasses.replace(settings, zone=zone)
        rng = random.Random(f"{fleet.seed}/{number}")
        self.dispatcher = Dispatcher(settings, self.peer_loads, rng)
        self.dispatcher.announce = self.report
        self.dispatcher.announce_placement = self.announce
        self._numbers = itertools.count(1)
        self._used_at: dict[str, float] = {}
        self._changes = LoadChanges()
        self._changes.reports_all_changes = fleet.rounds <= 1
        self.peer_loads.apply_report_rounds(fleet.rounds)
        self._turns: collections.deque[PlayedDaemon] = collections.deque()

    def choose(self, request):
        return self.dispatcher.place(
            request.placement_request, self._fleet.targets, (), self._fleet.now
        )

    def place(self, request):
        placement = self.choose(request)
        if placement is None:
            self._fleet.refused += 1
            return
        request.placement = placement
        name = placement.target.name
        used_at = self._used_at.get(name, float("-inf"))
        self._fleet.connections[self._fleet.now - used_at < IDLE_SECONDS] += 1
        self._fleet.placed.append(request)
        self._fleet.engines[name].add(request)

    def record_start(self, request):
        self.dispatcher.record_first_event(request.placement, self._fleet.now)

    def record_end(self, request):
        self._used_at[request.placement.target.name] = self._fleet.now
        self.dispatcher.record_result(
            request.placement, AttemptResult.ANSWERED, self._fleet.now
        )

    def announce(self, load):
        message = PlacementAnnounced(str(self.number), load)
        for receiver in self._fleet.choose_listeners(self):
            self._fleet.announcements += 1
            self._fleet.send(self, receiver, receiver.receive_announcement, message)

    def report(self):
        self.peer_loads.expire(self._fleet.now)
        loads = tuple(self.dispatcher.list_loads())
        if self._fleet.leaves_out_reports and not self._changes.is_report_due(
            loads, is_cut_off=False, is_urgent=False
        ):
            return
        report = LoadsReported(str(self.number), next(self._numbers), loads)
        for receiver in self._choose_receivers():
            self._fleet.send(self, receiver, receiver.receive_report, (self, report))

    def _choose_receivers(self):
        if not self._fleet.leaves_out_reports:
            return self._fleet.choose_receivers(self)
        if not self._turns:
            others = [each for each in self._fleet.daemons if each is not self]
            self._turns.extend(self._fleet.shuffle(others))
        receivers = list(itertools.islice(self._turns, RECEIVERS))
        self._turns.rotate(-RECEIVERS)
        return receivers

    def receive_announcement(self, message, now):
        if not self._fleet.is_without_reports:
            self.peer_loads.apply_announcement(message, now)

    def receive_report(self, sent, now):
        sender, report = sent
        if hasattr(self, "ranking"):
            self.ranking.record_message(sender.address, now)
        if not self._fleet.is_without_reports:
            self.peer_loads.apply_report(report, now)


class PlayedFleet:
    """A fleet, its engines, and the datagrams between the daemons."""

    def __init__(
        self,
        settings,
        daemons=67,
        engines=70,
        seed=1,
        loss=0.1,
        max_delay=0.03,
        make_daemon=PlayedDaemon,
        leaves_out_reports=False,
    ):
        self.seed = seed
        self.now = 0.0
        #: Whether reports without new information are left out.
        self.leaves_out_reports = leaves_out_reports
        self.rounds = math.ceil((daemons - 1) / RECEIVERS)
        self.refused = 0
        self.connections: Counter[bool] = Counter()
        self.placed = []
        self.datagrams = self.announcements = 0
        self.is_broadcast = True
        self.is_cut = self.is_without_reports = False
        self._rng = random.Random(seed)
        self._loss, self._max_delay = loss, max_delay
        self._events = []
        self._order = itertools.count()
        self.targets = make_targets(engines)
        self.engines = {
            target.name: PlayedEngine(
                self, PREFILL_RATE * self._rng.uniform(1 / 1.3, 1.0)
            )
            for target in self.targets
        }
        self.daemons = [make_daemon(self, each, settings) for each in range(daemons)]
        addresses = [daemon.address for daemon in self.daemons]
        for daemon in self.daemons:
            peers = [each for each in addresses if each != daemon.address]
            daemon.dispatcher.apply_daemons(daemon.address, peers)
            self.schedule(self._rng.uniform(0, REPORT_INTERVAL), self._report, daemon)
            if hasattr(daemon, "ranking"):
                daemon.ranking.apply_peers(peers, 0.0)

    def schedule(self, time, call, *arguments):
        heapq.heappush(self._events, (time, next(self._order), call, arguments))

    def send(self, sender, receiver, apply, message):
        """Deliver a message later, or lose it."""
        self.datagrams += 1
        if self.loses(sender, receiver):
            return
        delay = self._rng.uniform(0.0005, self._max_delay)
        self.schedule(self.now + delay, lambda: apply(message, self.now))

    def find(self, address):
        """Return the daemon at an address."""
        return next(each for each in self.daemons if each.address == address)

    def loses(self, sender, receiver):
        """Whether the next datagram is lost; a cut separates the even numbers."""
        is_cut = self.is_cut and (sender.number - receiver.number) % 2
        return is_cut or self._rng.random() < self._loss

    def choose_listeners(self, sender):
        """Return the receivers of announcements."""
        if self.is_broadcast:
            return [each for each in self.daemons if each is not sender]
        return self.choose_receivers(sender)

    def choose_receivers(self, sender):
        others = [each for each in self.daemons if each is not sender]
        return self._rng.sample(others, min(RECEIVERS, len(others)))

    def shuffle(self, daemons):
        return self._rng.sample(daemons, len(daemons))

    def _report(self, daemon):
        daemon.report()
        self.schedule(self.now + REPORT_INTERVAL, self._report, daemon)

    def offer(self, seconds, per_second, make_request):
        """Schedule requests; three daemons get a quarter of them."""
        time = self.now
        while time < self.now + seconds:
            time += self._rng.expovariate(per_second)
            busy = self._rng.random() < 0.25
            daemon = self._rng.choice(self.daemons[:3] if busy else self.daemons)
            request = PlayedRequest(make_request(self._rng), daemon, time)
            self.schedule(time, daemon.place, request)

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = end

    def list_waits(self, is_wanted=lambda request: True):
        """Return the sorted times to the first events of answered requests."""
        return sorted(
            request.first_event_at - request.arrived_at
            for request in self.placed
            if request.first_event_at and is_wanted(request)
        )

    def list_delays(self, is_wanted=lambda request: True):
        """Return the sorted waits without the time that the own prompts take."""
        return sorted(
            request.first_event_at
            - request.arrived_at
            - request.prefill_tokens / self.engines[request.placement.target.name].rate
            for request in self.placed
            if request.first_event_at and is_wanted(request)
        )

    def count_collisions(self):
        """Return how many large prompts were placed where another one was unread."""
        last: dict[str, float] = {}
        collisions = 0
        for request in filter(is_large, self.placed):
            name = request.placement.target.name
            collisions += last.get(name, 0.0) > request.arrived_at
            last[name] = max(last.get(name, 0.0), request.first_event_at)
        return collisions

    @property
    def other_zone_share(self):
        """Share of requests that are sent to another zone."""
        others = sum(
            request.placement.target.zone != f"z{request.daemon.number % ZONES}"
            for request in self.placed
        )
        return others / len(self.placed)

    @property
    def reuse_share(self):
        """Share of requests that find an open connection to their engine."""
        return self.connections[True] / self.connections.total()


def make_prompt(rng, sessions=400):
    """Return a prompt: half of them short, others 12,000 tokens and up to 70,000."""
    session = f"/s{rng.randrange(sessions)}"
    if rng.random() < 0.5:
        shared, own = 300, rng.randrange(200, 1_200)
    else:
        shared, own = (
            rng.choice((300, 6_000)),
            min(64_000, int(3_000 + rng.expovariate(1 / 13_000))),
        )
    return PlacementRequest(
        "pool",
        (SharedPrefix(session, shared),),
        shared + own,
        OBJECTIVE,
        EVENTS,
        BODY_BYTES,
    )


def count_tokens(request):
    return request.prompt_tokens + EVENTS


def is_small(request):
    return request.placement_request.prompt_tokens < SMALL_TOKENS


def is_large(request):
    return request.prefill_tokens >= LARGE_TOKENS


def get_quantile(values, share):
    return statistics.quantiles(values, n=100)[round(share * 100) - 1]
