"""A zone of daemons, its balancer and its callers, played in steps of time."""

import dataclasses
import random
from collections import deque

from kingcuphead.capacity._connections import CallerConnections
from kingcuphead.capacity._decisions import (
    CloseRequested,
    DeflectionBegan,
    Observation,
    SheddingBegan,
    UnreadyEnded,
)
from kingcuphead.capacity._messages import CapacityReported, Readiness
from kingcuphead.capacity._schedule import Receivers, ReportSchedule
from kingcuphead.capacity._shedder import LoadShedder
from kingcuphead.capacity._zone_loads import ZoneLoads

#: Seconds of one step.
STEP = 0.1
#: Steps over which load is measured.
WINDOW_STEPS = 10
#: Steps until a report arrives.
DELAY_STEPS = 1
#: Daemons of the whole fleet, and receivers of a report.
FLEET_SIZE, RECEIVERS = 60, 12
#: Steps between two checks of a daemon.
CHECK_STEPS = 10
#: Failed checks after which the balancer uses other daemons.
FAILED_CHECKS = 2
#: Bytes a second that load 1 stands for.
LINK_RATE = 625_000


@dataclasses.dataclass
class Connection:
    """A kept-alive connection of a caller."""

    #: What the balancer hashes.
    caller: str
    #: Load that it puts on a daemon.
    load: float
    #: Seconds between two requests.
    interval: float
    daemon: "Daemon"
    next_request_at: float = 0.0


class Daemon:
    """A daemon with its load as a sum of what its connections put on it."""

    def __init__(self, number, now, background):
        self.number = number
        self.background = background
        self.zone_loads = ZoneLoads("z")
        self.shedder = LoadShedder(f"d{number:02}/{now}", self.zone_loads, now)
        self.registry = CallerConnections()
        self.is_serving = True
        self.is_listed = True
        self.failed_checks = 0
        self.demand = background
        self.began = 0
        self.deflected = 0
        self.reasons = []
        self._sent = 0
        self._schedule = ReportSchedule()
        self._samples: deque[float] = deque(maxlen=WINDOW_STEPS)

    @property
    def is_ready(self):
        return self.is_serving and not self.shedder.is_unready

    @property
    def load(self):
        return sum(self._samples) / WINDOW_STEPS

    def sample(self, demand):
        """Record the demand; no more than the capacity can be measured."""
        self.demand = demand
        self._samples.append(min(demand, 1.0))

    def choose_receivers(self, now):
        return self._schedule.choose_receivers(self._get_readiness(), now)

    def make_report(self):
        self._sent += 1
        load = self.shedder.get_reported_load(self.load)
        sender, readiness = self.shedder._sender, self._get_readiness()
        return CapacityReported(sender, self._sent, "z", load, readiness)

    def _get_readiness(self):
        return self.shedder.readiness if self.is_serving else Readiness.UNREADY


class Zone:
    """Daemons whose callers are hashed onto those that the balancer takes for ready.

    Parameters
    ----------
    seed
        Seed of all random choices.
    backgrounds
        Load of each daemon that no caller's connection causes.
    loss
        Part of the reports that is lost.
    uses_modulus
        Whether the balancer takes the hash modulo the number of daemons, rather than
        the first daemon in rendezvous order.
    """

    def __init__(self, seed, backgrounds, loss=0.0, uses_modulus=False):
        self.rng = random.Random(seed)
        self.loss = loss
        self.uses_modulus = uses_modulus
        self.steps = 0
        self.daemons = [
            Daemon(number, 0.0, background)
            for number, background in enumerate(backgrounds)
        ]
        self.connections = []
        self.most_unready = 0
        self.most_unlisted = 0
        self._in_flight: deque[tuple[int, Daemon, CapacityReported]] = deque()
        self._check_offsets = [self.rng.randrange(CHECK_STEPS) for _ in self.daemons]

    @property
    def now(self):
        return self.steps * STEP

    @property
    def peak_demand(self):
        return max(daemon.demand for daemon in self.daemons)

    @property
    def began(self):
        """How often daemons began to shed load."""
        return sum(daemon.began for daemon in self.daemons)

    def add_connections(self, number, count, load, callers=1):
        """Open connections on a daemon that put a load on it together."""
        for index in range(count):
            connection = Connection(
                f"{number}-{index % callers}",
                load / count,
                self.rng.uniform(0.1, 0.6),
                self.daemons[number],
            )
            self.connections.append(connection)

    def restart(self, number):
        """Replace a daemon by one that knows nothing; its callers go elsewhere."""
        old = self.daemons[number]
        new = self.daemons[number] = Daemon(number, self.now, old.background)
        for connection in self.connections:
            if connection.daemon is old:
                connection.daemon = self._choose_daemon(connection)
        return new

    def stop(self, number):
        """Let a daemon turn callers away because it shuts down."""
        self.daemons[number].is_serving = False

    def play(self, seconds):
        """Play some seconds, and record the most daemons that were unready at once."""
        for _ in range(round(seconds / STEP)):
            self.steps += 1
            self._deliver()
            self._measure()
            for daemon in self.daemons:
                self._step_daemon(daemon)
            self._check()
            self._serve()
            unready = sum(not daemon.is_ready for daemon in self.daemons)
            unlisted = sum(not daemon.is_listed for daemon in self.daemons)
            self.most_unready = max(self.most_unready, unready)
            self.most_unlisted = max(self.most_unlisted, unlisted)

    def _measure(self):
        demands = {id(each): each.background for each in self.daemons}
        for connection in self.connections:
            demands[id(connection.daemon)] += connection.load
            entry = connection.daemon.registry.find(id(connection), connection.caller)
            entry.record_received(round(connection.load * LINK_RATE * STEP))
        for daemon in self.daemons:
            daemon.sample(demands[id(daemon)])
            daemon.registry.rotate(self.now)

    def _step_daemon(self, daemon):
        observation = Observation(
            self.now, daemon.load, daemon.is_serving, daemon.registry.marked_count
        )
        for effect in daemon.shedder.step(observation):
            match effect:
                case CloseRequested(share):
                    daemon.registry.mark(share)
                case SheddingBegan():
                    daemon.began += 1
                case DeflectionBegan():
                    daemon.deflected += 1
                case UnreadyEnded(reason):
                    daemon.reasons.append(reason)
                    daemon.registry.unmark()
        match daemon.choose_receivers(self.now):
            case Receivers.ALL:
                self._send(daemon, 1.0)
            case Receivers.SOME:
                self._send(daemon, RECEIVERS / (FLEET_SIZE - 1))

    def _send(self, sender, probability):
        report = sender.make_report()
        for receiver in self.daemons:
            is_sent = self.rng.random() < probability
            if receiver is not sender and is_sent and self.rng.random() >= self.loss:
                self._in_flight.append((self.steps + DELAY_STEPS, receiver, report))

    def _deliver(self):
        while self._in_flight and self._in_flight[0][0] <= self.steps:
            _, receiver, report = self._in_flight.popleft()
            receiver.zone_loads.apply_report(report, self.now)
        for daemon in self.daemons:
            daemon.zone_loads.expire(self.now)

    def _check(self):
        for daemon, offset in zip(self.daemons, self._check_offsets, strict=True):
            if self.steps % CHECK_STEPS != offset:
                continue
            is_ready = daemon.is_ready
            daemon.shedder.record_check(is_ready, self.now)
            daemon.failed_checks = 0 if is_ready else daemon.failed_checks + 1
            daemon.is_listed = daemon.failed_checks < FAILED_CHECKS

    def _serve(self):
        """Close marked connections after an answer; their callers open new ones."""
        for connection in self.connections:
            if connection.next_request_at > self.now:
                continue
            connection.next_request_at = self.now + connection.interval
            registry = connection.daemon.registry
            entry = registry.find(id(connection), connection.caller)
            if entry.is_marked:
                registry.remove(id(connection))
                connection.daemon = self._choose_daemon(connection)

    def _choose_daemon(self, connection):
        """Return a listed daemon by the hash of the caller.

        While all daemons are listed, it is the one that the caller began with.
        """
        listed = [daemon for daemon in self.daemons if daemon.is_listed]
        if len(listed) * 2 < len(self.daemons):
            listed = self.daemons
        home = int(connection.caller.partition("-")[0])
        if self.uses_modulus:
            turns = random.Random(connection.caller).randrange(1_000)
            return listed[(home + turns * len(self.daemons)) % len(listed)]
        return max(
            listed,
            key=lambda daemon: (
                daemon.number == home,
                random.Random(f"{connection.caller}/{daemon.number}").random(),
            ),
        )
