"""Schemes for spending a budget from many daemons, under one load and its faults."""

import dataclasses
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Collection
from functools import partial

from kingcuphead.bench._budgets_fleet import Daemon, Fleet, Report
from kingcuphead.bench._budgets_load import Load, Request, Score
from kingcuphead.budgets import (
    HoldGranted,
    HoldRefused,
    HoldRequested,
    HoldSettled,
    Settings,
    build_creation,
    build_shard_key,
    compute_shard,
    parse_shard,
)

#: Seconds at which the faults begin and end.
KILL_AT = 18.0
CUT_FROM, CUT_TO = 24.0, 34.0
OUTAGE_FROM, OUTAGE_TO = 40.0, 48.0

#: Faults that a run may meet.
FAULTS = ("kill", "cut", "outage")

#: Seconds until everybody knows of a killed daemon.
DETECTION_SECONDS = 2.0

#: Seconds that a request may wait for credit.
HOLD_SECONDS = 2.0

#: Seconds between two writes of a daemon in the schemes that batch.
BATCH_SECONDS = 1.0

#: Times that a conditional write is tried again after a conflict.
MOST_CONFLICTS = 20

#: Zones of the fleet.
ZONES = ("zone-a", "zone-b", "zone-c")


class Scheme(ABC):
    """One way to spend budgets, driven by the clock of a fleet.

    Parameters
    ----------
    load : Load
        Budgets and requests.
    settings : Settings
        Settings of the ledgers, where the scheme has any.
    seed : int
        Seed of the network.
    """

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        self.load = load
        self.score = Score(load.build_true_budgets())
        self.fleet = Fleet(settings, seed, self.take_report)
        self.dead: set[int] = set()
        self.writes = 0
        self.reads = 0

    def run(self, seconds: float, faults: Collection[str]) -> Score:
        """Run the whole load with some of the `FAULTS`."""
        for request in self.load.requests:
            self.fleet.schedule(request.at, partial(self.arrive, request))
        if "kill" in faults:
            self.fleet.schedule(KILL_AT, partial(self.kill, 0))
        if "cut" in faults:
            self.fleet.schedule(CUT_FROM, self.cut)
            self.fleet.schedule(CUT_TO, self.heal)
        if "outage" in faults:
            self.fleet.schedule(OUTAGE_FROM, partial(self.set_outage, True))
            self.fleet.schedule(OUTAGE_TO, partial(self.set_outage, False))
        self.fleet.advance(seconds)
        return self.score

    def arrive(self, request: Request) -> None:
        """Bring a request to its daemon, or to the next live one."""
        daemon = request.daemon
        while daemon in self.dead:
            daemon = (daemon + 1) % self.load.daemons
        self.score.requests += 1
        self.hold(dataclasses.replace(request, daemon=daemon))

    def kill(self, daemon: int) -> None:
        """Kill a daemon; what it holds stays charged."""
        self.dead.add(daemon)

    def cut(self) -> None:
        """Cut a daemon off all others."""
        name = f"daemon-{self.load.daemons - 1}"
        others = (f"daemon-{index}" for index in range(self.load.daemons - 1))
        self.fleet.faults.cuts = {frozenset((name, other)) for other in others}

    def heal(self) -> None:
        """End the cut."""
        self.fleet.faults.cuts = set()

    def set_outage(self, outage: bool) -> None:
        """Stop or start the table."""
        self.fleet.faults.outage = outage

    def get_limit(self, budget: str) -> int:
        """Return the limit of a budget."""
        return self.load.limits[budget][0]

    def grant(self, request: Request, since: float) -> None:
        """Dispatch a request."""
        self.score.grant(request, self.fleet.now - since)
        self.fleet.schedule(request.seconds, partial(self.end, request))

    def refuse(self, request: Request, reason: str) -> None:
        """Refuse a request."""
        outage = OUTAGE_FROM <= self.fleet.now < OUTAGE_TO
        self.score.refuse(request, reason, outage)

    def end(self, request: Request) -> None:
        """End a request, unless its daemon was killed."""
        if request.daemon not in self.dead:
            self.score.settle(request)
            self.settle(request)

    def take_report(self, daemon: Daemon, report: Report) -> None:
        """Take a report of a ledger; only the ledgers send any."""
        raise AssertionError(report)

    @abstractmethod
    def hold(self, request: Request) -> None:
        """Grant or refuse a request, now or later."""

    @abstractmethod
    def settle(self, request: Request) -> None:
        """Bill a request that ended."""


class Ledgers(Scheme):
    """The ledgers of this package."""

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        super().__init__(load, settings, seed)
        self.waiting: dict[str, tuple[Request, float]] = {}
        for name, (limit, _) in load.limits.items():
            self.create(name, limit)
        self.fleet.table.writes = 0
        regions = 1 if load.daemons < 10 else 2
        for index in range(load.daemons):
            region = index % regions
            zone = f"{ZONES[index // regions % len(ZONES)]}-{region}"
            self.fleet.start_daemon(f"daemon-{index}", zone, f"region-{region}")

    def create(self, name: str, limit: int) -> None:
        """Create a budget."""
        shard = compute_shard(name, self.fleet.settings.shards)
        rows = self.fleet.table.read((build_shard_key(shard),))
        version = parse_shard(shard, rows)
        self.fleet.table.commit(build_creation(version, name, limit).ok)

    def kill(self, daemon: int) -> None:
        """Kill a ledger; the others learn of it a little later."""
        super().kill(daemon)
        self.fleet.kill(self.fleet.daemons[f"daemon-{daemon}"])
        self.fleet.schedule(DETECTION_SECONDS, self.fleet.announce)

    def hold(self, request: Request) -> None:
        """Ask the ledger for a hold."""
        hold_id = f"hold-{request.number}"
        self.waiting[hold_id] = request, self.fleet.now
        message = HoldRequested(
            hold_id=hold_id,
            request_id=f"request-{request.number}",
            budget=request.budget,
            organisation=request.budget,
            tokens=request.bound,
            policy=self.load.limits[request.budget][1],
            deadline=self.fleet.now + HOLD_SECONDS,
        )
        self.fleet.give(self.fleet.daemons[f"daemon-{request.daemon}"], message)

    def settle(self, request: Request) -> None:
        """Settle with the ledger."""
        message = HoldSettled(f"hold-{request.number}", 0, request.used, True, 0.0)
        self.fleet.give(self.fleet.daemons[f"daemon-{request.daemon}"], message)

    def take_report(self, daemon: Daemon, report: Report) -> None:
        """Dispatch or refuse what the ledger decided."""
        match report:
            case HoldGranted(hold_id=hold_id):
                self.grant(*self.waiting.pop(hold_id))
            case HoldRefused(hold_id=hold_id, verdict=verdict):
                request, _ = self.waiting.pop(hold_id)
                self.refuse(request, verdict.reason.value)
        self.writes = self.fleet.table.writes
        self.reads = self.fleet.table.reads


class WritePerRequest(Scheme):
    """Baseline (a): a conditional write for each hold and for each bill."""

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        super().__init__(load, settings, seed)
        self.charged: dict[str, int] = defaultdict(int)
        self.versions: dict[str, int] = defaultdict(int)
        self.cached: dict[tuple[int, str], int] = defaultdict(int)

    def hold(self, request: Request) -> None:
        """Write the hold, again after each conflict."""
        self.write(request, request.bound, self.fleet.now, 0)

    def settle(self, request: Request) -> None:
        """Write the difference between the bill and the hold."""
        self.write(request, request.used - request.bound, None, 0)

    def write(
        self, request: Request, tokens: int, since: float | None, conflicts: int
    ) -> None:
        """Bring one conditional write to the table."""
        version = self.cached[request.daemon, request.budget]
        delay = self.fleet.faults.table_delay
        self.fleet.schedule(
            delay, partial(self.land, request, tokens, since, conflicts, version)
        )

    def land(
        self,
        request: Request,
        tokens: int,
        since: float | None,
        conflicts: int,
        version: int,
    ) -> None:
        """Apply one conditional write."""
        delay = self.fleet.faults.table_delay
        if self.fleet.faults.outage:
            self.fail(request, tokens, since)
            return
        self.writes += 1
        # The reply of a conflict carries the row, so that no read is needed.
        self.cached[request.daemon, request.budget] = self.versions[request.budget]
        if version != self.versions[request.budget]:
            again = partial(self.write, request, tokens, since, conflicts + 1)
            if since is None or conflicts < MOST_CONFLICTS:
                self.fleet.schedule(delay, again)
            else:
                self.refuse(request, "conflicts")
        elif self.charged[request.budget] + tokens > self.get_limit(request.budget):
            self.refuse(request, "budget_exhausted")
        else:
            self.charged[request.budget] += tokens
            self.versions[request.budget] += 1
            self.cached[request.daemon, request.budget] += 1
            if since is not None:
                self.fleet.schedule(delay, partial(self.grant, request, since))

    def fail(self, request: Request, tokens: int, since: float | None) -> None:
        """Refuse a hold, or write a bill later, while the table is down."""
        if since is not None:
            self.refuse(request, "platform_unavailable")
        else:
            again = partial(self.write, request, tokens, None, 0)
            self.fleet.schedule(BATCH_SECONDS, again)


class EqualShares(Scheme):
    """Baseline (b): a fixed equal share of every budget for each daemon."""

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        super().__init__(load, settings, seed)
        self.charged: dict[tuple[int, str], int] = defaultdict(int)
        self.dirty: set[int] = set()

    def hold(self, request: Request) -> None:
        """Grant what the own share covers."""
        key = request.daemon, request.budget
        share = self.get_limit(request.budget) // self.load.daemons
        if self.charged[key] + request.bound > share:
            self.refuse(request, "share_exhausted")
            return
        self.charged[key] += request.bound
        self.grant(request, self.fleet.now)

    def settle(self, request: Request) -> None:
        """Free what was not used; bills are written in batches."""
        self.charged[request.daemon, request.budget] += request.used - request.bound
        if request.daemon not in self.dirty:
            self.dirty.add(request.daemon)
            self.fleet.schedule(BATCH_SECONDS, partial(self.flush, request.daemon))

    def flush(self, daemon: int) -> None:
        """Write the bills of a daemon."""
        self.dirty.discard(daemon)
        self.writes += 1


class CachedCounter(Scheme):
    """Baseline (c): a shared counter that each daemon reads and adds to at times."""

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        super().__init__(load, settings, seed)
        self.counter: dict[str, int] = defaultdict(int)
        self.views: dict[int, dict[str, int]] = defaultdict(dict)
        self.deltas: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        for daemon in range(load.daemons):
            at = BATCH_SECONDS * daemon / load.daemons
            self.fleet.schedule(at, partial(self.exchange, daemon))

    def hold(self, request: Request) -> None:
        """Grant what the cached view covers."""
        seen = self.views[request.daemon].get(request.budget, 0)
        own = self.deltas[request.daemon][request.budget]
        if seen + own + request.bound > self.get_limit(request.budget):
            self.refuse(request, "budget_exhausted")
            return
        self.deltas[request.daemon][request.budget] += request.bound
        self.grant(request, self.fleet.now)

    def settle(self, request: Request) -> None:
        """Correct the own additions."""
        difference = request.used - request.bound
        self.deltas[request.daemon][request.budget] += difference

    def exchange(self, daemon: int) -> None:
        """Add to the counter and read it."""
        if daemon in self.dead:
            return
        self.fleet.schedule(BATCH_SECONDS, partial(self.exchange, daemon))
        if self.fleet.faults.outage:
            return
        deltas = self.deltas.pop(daemon, {})
        self.writes += any(deltas.values())
        self.reads += 1
        for name, tokens in deltas.items():
            self.counter[name] += tokens
        self.views[daemon] = dict(self.counter)


#: Schemes by the name that the report shows.
SCHEMES: dict[str, type[Scheme]] = {
    "ledgers": Ledgers,
    "(a) write per request": WritePerRequest,
    "(b) equal shares": EqualShares,
    "(c) cached counter": CachedCounter,
}
