"""Permit exchanges of a whole fleet that send to one cold target, on virtual time."""

import asyncio
import random

from kingcuphead.permits import PermitAsked, PermitCoordinator, PermitExchange
from kingcuphead.targets import Availability, ColdLimit, Target

TARGET = Target("t1", "pool", "10.9.0.1:80", "z", 8, Availability.READY, 1)
#: Seconds between two polls of the list of daemons, and between two rounds of gossip.
POLL_INTERVAL = 5.0
GOSSIP_INTERVAL = 0.5
MAX_RECEIVERS = 12
#: Bounds in seconds of the delay of a datagram, and of opening a connection.
DATAGRAM_DELAY = (0.0005, 0.01)
CONNECT_DELAY = (0.0, 0.1)
#: Seconds between two bursts on average, and the requests of one.
BURST_INTERVAL = 0.25
BURST_REQUESTS = 60
#: The same of a load that is spread evenly.
EVEN_INTERVAL = 0.01
EVEN_REQUESTS = 2


class ColdFleetDaemon:
    """The permit exchange of one daemon, with what the daemon knows.

    Parameters
    ----------
    address
        Address of the daemon.
    fleet
        Delivers its messages.
    """

    def __init__(self, address, fleet):
        self._fleet = fleet
        self.address = address
        #: What the daemon's last entry of the target says.
        self.target = TARGET
        #: Daemons of another group can't be reached.
        self.group = 0
        self.has_store = True
        self.peers = ()
        self.task = None
        self.exchange = PermitExchange(
            address,
            PermitCoordinator(fleet.rng),
            lambda message, receiver: fleet.send(self, message, receiver),
            lambda message: None,
            self,
        )

    has_cold_limits = True

    def poll(self):
        """Read the list of daemons."""
        if self.has_store:
            self.peers = tuple(sorted(self._fleet.listed - {self.address}))
            self.exchange.ranking.apply_peers(self.peers, self._fleet.now)

    def find_cold_limit(self, target):
        if self._fleet.is_cold or not self.has_store:
            return ColdLimit(self._fleet.limit, is_certain=self.has_store)
        return None

    def is_known_warm(self, incarnation):
        return self.has_store and not self._fleet.is_cold


class ColdFleet:
    """Daemons with a common list, of which each one has a copy of its own.

    Parameters
    ----------
    size
        Number of daemons.
    limit
        Requests per second that the cold target takes.
    seed
        Seed of all random choices.
    """

    def __init__(self, size, limit, seed):
        self.rng = random.Random(seed)
        self.limit = limit
        self.is_cold = True
        self.daemons: dict[tuple[str, int], ColdFleetDaemon] = {}
        self.listed = set()
        #: When requests reached the target, in seconds.
        self.sent_at = []
        #: Number of permits that were asked for.
        self.queries = 0
        self._tasks = set()
        for number in range(size):
            self.add(number)
        for daemon in self.daemons.values():
            daemon.poll()

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def add(self, number):
        """Start a daemon and put it into the list."""
        address = (f"10.0.{number // 250}.{number % 250}", 1)
        self.listed.add(address)
        daemon = self.daemons[address] = ColdFleetDaemon(address, self)
        daemon.poll()
        daemon.task = self._start(daemon.exchange.run())
        return daemon

    def list_owners(self):
        """Return the daemons in the order of the target, by the list in the store."""
        reader = next(each for each in self.daemons.values() if each.has_store)
        ranking = reader.exchange.ranking
        ranks = ranking.list_owners(TARGET.name, len(self.listed))
        return [self.daemons[each] for each in ranks if each in self.daemons]

    def kill(self, daemon):
        """End a daemon; its row stays in the list."""
        del self.daemons[daemon.address]
        daemon.task.cancel()

    def send(self, sender, message, receiver_address):
        """Deliver a datagram unless its receiver can't be reached."""
        self.queries += isinstance(message, PermitAsked)
        delay = self.rng.uniform(*DATAGRAM_DELAY)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, sender, message, receiver_address)

    async def run(self, seconds, interval=BURST_INTERVAL, count=BURST_REQUESTS):
        """Send bursts of requests to daemons at random."""
        end = self.now + seconds
        clock = self._start(self._run_clocks(end))
        while self.now < end:
            await asyncio.sleep(self.rng.expovariate(1 / interval))
            for daemon in self.rng.choices(list(self.daemons.values()), k=count):
                self._start(self._serve(daemon))
        await clock

    def count_most(self, window):
        """Return the most requests that were sent in some window."""
        times = sorted(self.sent_at)
        return max(
            sum(start <= each <= start + window for each in times) for start in times
        )

    def count_since(self, start):
        """Return the requests that were sent from some time on."""
        return sum(each >= start for each in self.sent_at)

    async def _serve(self, daemon):
        if not daemon.exchange.select_open([daemon.target]):
            return
        decision = await daemon.exchange.claim(daemon.target)
        if decision.is_granted:
            await asyncio.sleep(self.rng.uniform(*CONNECT_DELAY))
            self.sent_at.append(self.now)
            daemon.exchange.release(daemon.target, was_rejected=False)

    async def _run_clocks(self, end):
        polls = {
            address: self.rng.uniform(0, POLL_INTERVAL) for address in self.daemons
        }
        while self.now < end:
            for daemon in tuple(self.daemons.values()):
                if polls.setdefault(daemon.address, self.now) <= self.now:
                    daemon.poll()
                    polls[daemon.address] = self.now + POLL_INTERVAL
                self._gossip(daemon)
            await asyncio.sleep(GOSSIP_INTERVAL)

    def _gossip(self, daemon):
        count = min(len(daemon.peers), MAX_RECEIVERS)
        for address in self.rng.sample(daemon.peers, count):
            receiver = self.daemons.get(address)
            if receiver is not None and receiver.group == daemon.group:
                receiver.exchange.ranking.record_message(daemon.address, self.now)

    def _deliver(self, sender, message, address):
        receiver = self.daemons.get(address)
        if receiver is None or receiver.group != sender.group:
            return
        receiver.exchange.ranking.record_message(sender.address, self.now)
        receiver.exchange.handle_message(message, sender.address)

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
