"""Random simulations of daemons and faults that check that no budget is exceeded.

Faults are lost replies, late writes, disconnected daemons, crashes, and lost, late or
repeated datagrams.
"""

import random

from kingcuphead.credit import (
    CreditAsked,
    CreditLedger,
    CreditSettings,
    TransferEndpoint,
    find_reclaimable,
    plan_reclaim,
)
from kingcuphead.credit._rows import select_shards
from kingcuphead.credit.tests._store import FaultyStore, renew
from kingcuphead.routing import Organisation
from kingcuphead.storage import Committed, Conflict

NAMES = ("atelier", "builder")
#: Seconds of simulated time for each step.
STEP = 0.1
#: Part of the table with the stamps of all daemons.
STAMPS = "stamps"
#: Share of the renewals of credit that also renew the stamp, unless stated.
STAMP_SHARE = 0.3
SETTINGS = CreditSettings()


class Daemon:
    """One instance with its ledger and open holds, through several incarnations."""

    ledger: CreditLedger

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.incarnation = 0
        self.cut_until = 0.0
        self.is_disconnected = False
        self.start()

    def start(self):
        self.incarnation += 1
        if self.incarnation > 1:
            ended = self.simulation.ended
            ended[self.name, f"incarnation-{self.incarnation - 1}"] = self.ledger
        self.ledger = CreditLedger(
            self.name, f"incarnation-{self.incarnation}", self.simulation.settings
        )
        self.ledger.apply_limits(
            self.simulation.list_organisations(), self.simulation.version
        )
        self.holds = []
        self.endpoint = TransferEndpoint(self.ledger, f"{self.name}/{self.incarnation}")
        self.is_up = True
        self.reclaimed = set()

    def renew(self):
        store = self.simulation.store
        for name in NAMES:
            ledger = self.ledger.get_organisation(name)
            requested = ledger.account.count_requested_reserve(store.now)
            outcome = renew(
                self.ledger,
                store,
                is_disconnected=self.is_disconnected,
                names=[name],
                attempts=4,
            )
            if isinstance(outcome, Committed):
                self.simulation.moved_reserves += bool(requested)
                self.reclaim(name, ledger)
        if self.simulation.rng.random() < self.simulation.stamp_share:
            self.renew_stamp()

    def renew_stamp(self):
        store, stamp = self.simulation.store, self.ledger.stamp
        if stamp.earlier is None:
            if not self.is_disconnected:
                stamp.apply_rows(store.read(STAMPS, stamp.prefix), store.time_ms)
        elif not self.ledger.has_unrecorded_release:
            transaction = stamp.plan_transaction(store.now, store.time_ms)
            outcome = store.commit(STAMPS, transaction, self.is_disconnected)
            stamp.handle_outcome(outcome)
            self.simulation.stamps += isinstance(outcome, Committed)

    def see_era(self):
        """Receive a reply of the store that is not about credit."""
        if not self.is_disconnected:
            self.ledger.stamp.begin_era(self.simulation.store.era)
            for name in NAMES:
                self.ledger.get_organisation(name).begin_era(self.simulation.store.era)

    def reclaim(self, name, part):
        stamps = self.ledger.stamp.earlier
        if name in self.reclaimed or stamps is None:
            return
        self.reclaimed.add(name)
        store = self.simulation.store
        rows = store.read(name, part.holder_prefix).rows
        settings = self.simulation.reclaim_settings
        for reclaim in find_reclaimable(
            rows, part.holder_key, store.era, store.time_ms, settings, stamps
        ):
            self.check_unreleased(name, reclaim)
            for _ in range(5):
                shards = select_shards(store.read(name, "shard/").rows, store.era)
                if shards:
                    outcome = store.apply(name, plan_reclaim(reclaim, shards[0]))
                    if not isinstance(outcome, Conflict):
                        break

    def check_unreleased(self, name, reclaim):
        """Check that an earlier incarnation has not spent the reclaimed tokens."""
        incarnation = reclaim.holder.key.split("/")[2]
        part = self.simulation.ended[self.name, incarnation].get_organisation(name)
        sent = [*part._in_doubt, *([part._sent] if part._sent else [])]
        remaining = part.account.reserve
        remaining += sum(abs(each.adjustment.reserve) for each in sent)
        assert reclaim.unreleased <= remaining, (name, self.simulation.store.now)

    def request(self):
        rng = self.simulation.rng
        name = rng.choice(NAMES)
        tokens = rng.randint(1, 900)
        self.ledger.record_demand(name, tokens, self.simulation.store.now)
        may_pledge = rng.random() < self.simulation.pledge_share
        acquire = self.ledger.pledge if may_pledge else self.ledger.hold
        hold = acquire(name, tokens, self.simulation.store.now)
        if hold is not None:
            self.holds.append(hold)
            self.simulation.pledges += bool(hold.pledged)
            # Nothing is spent of a hold before it is active.
            self.simulation.spent[name] += 0 if hold.pledged else tokens
        else:
            self.ledger.add_waiting(name, tokens)
            self.renew()
            self.ledger.remove_waiting(name, tokens)

    def request_transfer(self):
        rng = self.simulation.rng
        tokens = rng.choice((0, rng.randint(1, 2_000)))
        extra = rng.choice((0, rng.randint(1, 2_000)))
        request = self.endpoint.create_request(rng.choice(NAMES), tokens, extra)
        peer = rng.choice(self.simulation.daemons)
        for _ in range(rng.choice((1, 1, 2))):
            self.simulation.send(peer, request)

    def handle_datagram(self, message):
        if isinstance(message, CreditAsked):
            reply = self.endpoint.handle_request(message, self.simulation.store.now)
            receiver = self.simulation.find_daemon(message.sender)
            for _ in range(self.simulation.rng.choice((1, 1, 2))):
                self.simulation.send(receiver, reply)
        else:
            self.endpoint.handle_reply(message)

    def end_request(self):
        if not self.holds:
            return
        hold = self.holds.pop(self.simulation.rng.randrange(len(self.holds)))
        if hold.pledged:
            self.end_pledge(hold)
            return
        spent = self.simulation.rng.randint(0, hold.tokens)
        self.ledger.settle(hold, spent, self.simulation.store.now)
        self.simulation.spent[hold.organisation] -= hold.tokens - spent

    def end_pledge(self, hold):
        """End a request without spending, or begin to spend what it holds."""
        now = self.simulation.store.now
        if self.simulation.rng.random() < 0.3:
            self.ledger.settle(hold, 0, now)
            return
        self.holds.append(hold)
        if self.ledger.activate(hold, now):
            self.simulation.spent[hold.organisation] += hold.tokens
            self.simulation.activations += 1


class Simulation:
    def __init__(
        self,
        seed,
        reclaim_delay=None,
        settings=SETTINGS,
        stamp_share=STAMP_SHARE,
        pledge_share=0.0,
    ):
        #: Share of the requests that pledge credit, and how many did and spent it.
        self.pledge_share = pledge_share
        self.pledges = self.activations = 0
        self.rng = random.Random(seed)
        self.stamp_share = stamp_share
        self.settings = settings
        self.reclaim_settings = self.settings
        if reclaim_delay is not None:
            self.reclaim_settings = CreditSettings(release_delay=reclaim_delay)
        self.store = FaultyStore(self.rng)
        self.limits = dict.fromkeys(NAMES, 60_000)
        self.version = 1
        self.is_fault_free = False
        self.spent = dict.fromkeys(NAMES, 0)
        self.ended = {}
        self.moved_reserves = 0
        self.stamps = 0
        self.datagrams = []
        self.daemons = [Daemon(self, f"d{number}") for number in range(4)]

    def list_organisations(self):
        return [Organisation(name, None, limit) for name, limit in self.limits.items()]

    def run(self, steps):
        for _ in range(steps):
            self.store.advance(STEP)
            self.inject_faults()
            self.deliver()
            for daemon in self.daemons:
                if daemon.is_up:
                    self.run_daemon(daemon)
            self.check()

    def send(self, receiver, message):
        """Deliver a message at once, delay it or drop it."""
        fate = 0.0 if self.is_fault_free else self.rng.random()
        if fate < 0.7:
            self.datagrams.append((self.store.now, receiver, message))
        elif fate < 0.9:
            due = self.store.now + self.rng.uniform(0.1, 5.0)
            self.datagrams.append((due, receiver, message))

    def find_daemon(self, incarnation):
        return next(
            each for each in self.daemons if incarnation.startswith(f"{each.name}/")
        )

    def deliver(self):
        due = [each for each in self.datagrams if each[0] <= self.store.now]
        self.datagrams = [each for each in self.datagrams if each[0] > self.store.now]
        for _, receiver, message in due:
            if receiver.is_up:
                receiver.handle_datagram(message)

    def run_daemon(self, daemon):
        if self.rng.random() < 0.2:
            daemon.request_transfer()
        if self.rng.random() < 0.5:
            daemon.request()
        if self.rng.random() < 0.45:
            daemon.end_request()
        if self.rng.random() < 0.3:
            daemon.renew()

    def inject_faults(self):
        rng = self.rng
        if self.is_fault_free:
            return
        if rng.random() < 0.02:
            self.store.lost_share = rng.choice((0.0, 0.0, 0.4))
            self.store.late_share = rng.choice((0.0, 0.0, 0.3))
        if rng.random() < 0.03:
            daemon = rng.choice(self.daemons)
            daemon.is_disconnected = not daemon.is_disconnected
        if rng.random() < 0.03:
            daemon = rng.choice(self.daemons)
            daemon.is_up = False
        if rng.random() < 0.1:
            for daemon in self.daemons:
                if not daemon.is_up:
                    daemon.start()
        if rng.random() < 0.005:
            self.top_up()

    def top_up(self):
        name = self.rng.choice(NAMES)
        self.limits[name] += 10_000
        self.version += 1
        for daemon in self.daemons:
            daemon.ledger.apply_limits(self.list_organisations(), self.version)

    def check(self):
        """Check that what is spent and what daemons may still spend is in the limit."""
        for name in NAMES:
            accounts = [
                each.ledger.get_organisation(name).account
                for each in self.daemons
                if each.is_up
            ]
            kept = sum(each.free + each.reserve for each in accounts)
            spent = self.spent[name]
            assert spent + kept <= self.limits[name], (name, self.store.now)


class RestoreSimulation(Simulation):
    """Restores the store at random, and cuts daemons from it and from each other.

    No daemon crashes, and none is cut off for longer than the delay after a restore:
    what such a daemon has spent of lost allocations is covered by `restore_margin`
    alone, which is 0 here.
    """

    def __init__(self, seed):
        super().__init__(seed, settings=CreditSettings(restore_margin=0.0))
        self.next_restore = self.rng.uniform(1.0, 10.0)

    def inject_faults(self):
        """Cut a daemon only for less than the delay after a restore."""
        rng, store = self.rng, self.store
        if rng.random() < 0.02:
            store.lost_share = rng.choice((0.0, 0.0, 0.4))
            store.late_share = rng.choice((0.0, 0.0, 0.3))
        for daemon in self.daemons:
            daemon.is_disconnected = store.now < daemon.cut_until
            if rng.random() < 0.01:
                daemon.cut_until = store.now + rng.uniform(0.2, 1.0)
        if rng.random() < 0.01 or store.now >= self.next_restore:
            store.restore(rng.uniform(0.0, 5.0))
            self.next_restore = float("inf")
        if rng.random() < 0.005:
            self.top_up()

    def run_daemon(self, daemon):
        """Let the daemon record its credit at once, as it is woken in a new era."""
        daemon.see_era()
        parts = [daemon.ledger.get_organisation(name) for name in NAMES]
        if any(part._era._must_record for part in parts):
            daemon.renew()
        super().run_daemon(daemon)

    def check(self):
        """Check that what daemons may still spend is within the limit too."""
        super().check()
        for name in NAMES:
            accounts = [
                each.ledger.get_organisation(name).account for each in self.daemons
            ]
            kept = sum(each.free + each.reserve + each.held for each in accounts)
            spent = sum(each.spent for each in accounts)
            assert kept + spent <= self.limits[name], (name, self.store.now)
