"""Fleets of daemons with random requests, on a simulated store and simulated time.

One part of the store's table commits a transaction in 5 ms, one after the other; a call
takes 6 ms more, or is abandoned after 2 s while the daemon is cut off from the store.
"""

import asyncio
import random
import selectors

from expression import Error, Ok

from kingcuphead.credit import (
    CreditLedger,
    CreditTask,
    Shortage,
    TransferClient,
    TransferEndpoint,
)
from kingcuphead.credit.tests._store import FaultyStore
from kingcuphead.routing import Organisation
from kingcuphead.storage import PlatformFault, Unknown

#: Seconds for which a part of the table is occupied by one transaction.
COMMIT_SECONDS = 0.005
#: Seconds that a message needs between a daemon and the store, or another daemon.
ONE_WAY_SECONDS = 0.003
#: Seconds after which a call to the store without a reply is abandoned.
CALL_TIMEOUT_SECONDS = 2.0
#: Seconds before the first request, in which the daemons start.
START_SECONDS = 4.0
#: Mean tokens of the kinds of request, with the share of each.
KINDS = ((12_300, 0.27), (2_400, 0.33), (1_000, 0.40))
MEAN_TOKENS = sum(tokens * share for tokens, share in KINDS)


class SimulatedClock(selectors.DefaultSelector):
    """A selector that advances a clock by its timeout in place of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on simulated time."""

    def __init__(self):
        self.clock = SimulatedClock()
        super().__init__(self.clock)

    def time(self):
        return self.clock.now


class Part:
    """One organisation's part of the store's table."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def commit(self, transaction):
        self.fleet.calls += 1
        if self.fleet.is_store_cut():
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            return Unknown()
        await asyncio.sleep(ONE_WAY_SECONDS)
        now = asyncio.get_running_loop().time()
        done_at = max(now, self.fleet.busy_until.get(self.name, 0.0)) + COMMIT_SECONDS
        self.fleet.busy_until[self.name] = done_at
        await asyncio.sleep(done_at - now)
        outcome = self.fleet.store.apply(self.name, transaction)
        await asyncio.sleep(ONE_WAY_SECONDS)
        return outcome

    async def read_prefix(self, prefix):
        self.fleet.calls += 1
        if self.fleet.is_store_cut():
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            return Error(PlatformFault("read", "timeout"))
        await asyncio.sleep(ONE_WAY_SECONDS)
        snapshot = self.fleet.store.read(self.name, prefix)
        await asyncio.sleep(ONE_WAY_SECONDS)
        return Ok(snapshot)

    def estimate_time(self):
        return int(asyncio.get_running_loop().time() * 1000)

    def bound_time(self, moment):
        return int(self.fleet.started_at * 1000)


class Fleet:
    """Daemons that hold and settle the credit of random requests."""

    def __init__(
        self, daemons, organisations, rate, budget_seconds, is_cut=False, seed=1
    ):
        self.rng = random.Random(seed)
        self.seed = seed
        self.store = FaultyStore(self.rng)
        self.busy_until: dict[str, float] = {}
        self.rate = rate
        self.is_cut = is_cut
        self.weights = [1 / (number + 1) for number in range(organisations)]
        scale = rate * MEAN_TOKENS * budget_seconds / sum(self.weights)
        self.limits = [
            Organisation(f"o{number}", None, int(scale * weight))
            for number, weight in enumerate(self.weights)
        ]
        self.budgets = {each.name: each.prepaid_tokens or 0 for each in self.limits}
        self.held = dict.fromkeys(self.budgets, 0)
        #: Incarnation of all daemons, and the time at which it started.
        self.incarnation, self.started_at = 1, 0.0
        #: Calls to the store.
        self.calls = 0
        self.requests = self.false_refusals = 0
        self.endpoints: list[TransferEndpoint] = []
        self.clients: list[TransferClient] = []
        self.tasks = [self.make_task(number, daemons) for number in range(daemons)]

    def make_task(self, number, daemons):
        ledger = CreditLedger(f"d{number}", str(self.incarnation))
        ledger.apply_fleet_size(daemons)
        task = CreditTask(
            ledger, lambda name: Part(self, name), stamp_table=Part(self, "stamps")
        )
        task.apply_limits(self.limits, 1)
        endpoint = TransferEndpoint(ledger, f"d{number}/{self.incarnation}")
        client = TransferClient(
            endpoint,
            lambda request, peer: self.send(number, request, peer[1]),
            lambda: tuple(("d", each) for each in range(daemons) if each != number),
            random.Random((self.seed - 1) * 1_000 + number),
        )
        self.endpoints.append(endpoint)
        self.clients.append(client)
        task.transfer_client = client
        return task

    def send(self, sender, request, receiver):
        if self.is_cut:
            return
        loop = asyncio.get_running_loop()

        def reply():
            answer = self.endpoints[receiver].handle_request(request, loop.time())
            loop.call_later(ONE_WAY_SECONDS, self.clients[sender].handle_reply, answer)

        loop.call_later(ONE_WAY_SECONDS, reply)

    def is_store_cut(self):
        """Whether the daemons can't reach the store now."""
        return False

    def choose_daemon(self, organisation):
        """Return the daemon that gets the next request of an organisation."""
        return self.rng.choice(self.tasks)

    def draw_request(self):
        """Return the organisation of a random request and its tokens."""
        rng = self.rng
        name = rng.choices(self.limits, self.weights)[0].name
        mean = rng.choices([k[0] for k in KINDS], [k[1] for k in KINDS])[0]
        return name, int(mean * rng.uniform(0.5, 1.5))

    async def serve_request(self):
        rng = self.rng
        name, tokens = self.draw_request()
        # The least that must be served: what is held and spent, at most, leaves room.
        has_room = self.held[name] + tokens <= 0.97 * self.budgets[name]
        task = self.choose_daemon(name)
        self.requests += 1
        held = await task.hold(name, tokens, timeout=1.0)
        if held.is_error():
            self.false_refusals += has_room
            assert not has_room or held.error.shortage is not Shortage.EXHAUSTED
            return
        self.held[name] += tokens
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        spent = int(tokens * rng.uniform(0.93, 1.0))
        task.settle(held.ok, spent)
        self.held[name] -= tokens - spent

    def count_transferable(self, name):
        """Return the free tokens of all daemons that no request waits for."""
        now = asyncio.get_running_loop().time()
        return sum(task.ledger.count_transferable(name, now) for task in self.tasks)

    async def run(self, seconds):
        renewals = [asyncio.create_task(task.run()) for task in self.tasks]
        await asyncio.sleep(START_SECONDS)
        loop = asyncio.get_running_loop()
        requests = []
        while loop.time() < START_SECONDS + seconds:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            requests.append(asyncio.create_task(self.serve_request()))
        await asyncio.gather(*requests)
        for renewal in renewals:
            renewal.cancel()
        await asyncio.gather(*renewals, return_exceptions=True)
