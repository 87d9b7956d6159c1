"""Schemes for spending budgets from many daemons, run under the same load."""

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

#: Virtual times of the faults, in seconds.
KILL_AT = 18.0
CUT_START, CUT_END = 24.0, 34.0
OUTAGE_START, OUTAGE_END = 40.0, 48.0

#: Names of the faults that a run can include.
FAULTS = ("kill", "cut", "outage")

#: Seconds until the other daemons detect a killed daemon.
DETECTION_SECONDS = 2.0

#: Seconds until a request that waits for credit times out.
HOLD_TIMEOUT_SECONDS = 2.0

#: Seconds between two writes of a daemon in the schemes that batch writes.
BATCH_INTERVAL_SECONDS = 1.0

#: Maximum number of retries of a hold's conditional write after conflicts; the write
#: of a bill is retried until it succeeds.
MAX_CONFLICTS = 20

#: Zones of each region.
ZONES = ("zone-a", "zone-b", "zone-c")


class Scheme(ABC):
    """A way to spend budgets, driven by the virtual clock of a fleet.

    Parameters
    ----------
    load : Load
        Limits of the budgets and requests.
    settings : Settings
        Settings of the ledgers, for the scheme that uses them.
    seed : int
        Seed of the fleet's random number generator.
    """

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        self.load = load
        self.score = Score(load.build_budgets())
        self.fleet = Fleet(settings, seed, self.handle_report)
        self.dead: set[int] = set()
        self.writes = 0
        self.reads = 0

    def run(self, seconds: float, faults: Collection[str]) -> Score:
        """Run the load with the named `FAULTS` and return the score."""
        for request in self.load.requests:
            self.fleet.schedule(
                request.arrives_at, partial(self.route_request, request)
            )
        if "kill" in faults:
            self.fleet.schedule(KILL_AT, partial(self.kill, 0))
        if "cut" in faults:
            self.fleet.schedule(CUT_START, self.cut)
            self.fleet.schedule(CUT_END, self.heal)
        if "outage" in faults:
            self.fleet.schedule(OUTAGE_START, partial(self.set_outage, True))
            self.fleet.schedule(OUTAGE_END, partial(self.set_outage, False))
        self.fleet.advance(seconds)
        return self.score

    def route_request(self, request: Request) -> None:
        """Send a request to its daemon, or to the next one that was not killed."""
        daemon = request.daemon
        while daemon in self.dead:
            daemon = (daemon + 1) % self.load.daemons
        self.score.requests += 1
        self.hold(dataclasses.replace(request, daemon=daemon))

    def kill(self, daemon: int) -> None:
        """Kill a daemon; its holds stay charged."""
        self.dead.add(daemon)

    def cut(self) -> None:
        """Cut the network between the last daemon and all others."""
        name = f"daemon-{self.load.daemons - 1}"
        others = (f"daemon-{index}" for index in range(self.load.daemons - 1))
        self.fleet.faults.cuts = {frozenset((name, other)) for other in others}

    def heal(self) -> None:
        """Restore the network."""
        self.fleet.faults.cuts = set()

    def set_outage(self, outage: bool) -> None:
        """Make the table unavailable or available again."""
        self.fleet.faults.outage = outage

    def get_limit(self, budget: str) -> int:
        """Return the limit of a budget, in tokens."""
        return self.load.limits[budget][0]

    def grant(self, request: Request, requested_at: float) -> None:
        """Record the grant of a request and schedule its end."""
        self.score.record_grant(request, self.fleet.now - requested_at)
        self.fleet.schedule(request.seconds, partial(self.end, request))

    def refuse(self, request: Request, reason: str) -> None:
        """Record the refusal of a request."""
        outage = OUTAGE_START <= self.fleet.now < OUTAGE_END
        self.score.record_refusal(request, reason, outage)

    def end(self, request: Request) -> None:
        """Settle a request that ended, unless its daemon was killed."""
        if request.daemon not in self.dead:
            self.score.record_settlement(request)
            self.settle(request)

    def handle_report(self, daemon: Daemon, report: Report) -> None:
        """Handle a report of a ledger; overridden by the scheme that runs ledgers."""
        raise AssertionError(report)

    @abstractmethod
    def hold(self, request: Request) -> None:
        """Grant or refuse a request, at once or later."""

    @abstractmethod
    def settle(self, request: Request) -> None:
        """Charge a request that ended with its actual cost."""


class Ledgers(Scheme):
    """The product: the ledgers of `kingcuphead.budgets`."""

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        super().__init__(load, settings, seed)
        self.pending: dict[str, tuple[Request, float]] = {}
        for name, (limit, _) in load.limits.items():
            self.create_budget(name, limit)
        self.fleet.table.writes = 0
        regions = 1 if load.daemons < 10 else 2
        for index in range(load.daemons):
            region = index % regions
            zone = f"{ZONES[index // regions % len(ZONES)]}-{region}"
            self.fleet.start_daemon(f"daemon-{index}", zone, f"region-{region}")

    def create_budget(self, name: str, limit: int) -> None:
        """Create a budget in the table."""
        shard = compute_shard(name, self.fleet.settings.shards)
        rows = self.fleet.table.read((build_shard_key(shard),))
        version = parse_shard(shard, rows)
        self.fleet.table.commit(build_creation(version, name, limit).ok)

    def kill(self, daemon: int) -> None:
        """Kill a daemon; the others detect it after `DETECTION_SECONDS`."""
        super().kill(daemon)
        self.fleet.kill(self.fleet.daemons[f"daemon-{daemon}"])
        self.fleet.schedule(DETECTION_SECONDS, self.fleet.announce)

    def hold(self, request: Request) -> None:
        """Request a hold from the daemon's ledger."""
        hold_id = f"hold-{request.number}"
        self.pending[hold_id] = request, self.fleet.now
        message = HoldRequested(
            hold_id=hold_id,
            request_id=f"request-{request.number}",
            budget=request.budget,
            organisation=request.budget,
            tokens=request.bound,
            policy=self.load.limits[request.budget][1],
            deadline=self.fleet.now + HOLD_TIMEOUT_SECONDS,
        )
        self.fleet.process_input(
            self.fleet.daemons[f"daemon-{request.daemon}"], message
        )

    def settle(self, request: Request) -> None:
        """Send the settlement to the daemon's ledger."""
        message = HoldSettled(f"hold-{request.number}", 0, request.used, True, 0.0)
        self.fleet.process_input(
            self.fleet.daemons[f"daemon-{request.daemon}"], message
        )

    def handle_report(self, daemon: Daemon, report: Report) -> None:
        """Grant or refuse a request as the ledger decided, and update the counts."""
        match report:
            case HoldGranted(hold_id=hold_id):
                self.grant(*self.pending.pop(hold_id))
            case HoldRefused(hold_id=hold_id, verdict=verdict):
                request, _ = self.pending.pop(hold_id)
                self.refuse(request, verdict.reason.value)
        self.writes = self.fleet.table.writes
        self.reads = self.fleet.table.reads


class WritePerRequest(Scheme):
    """Baseline (a): one conditional write per hold and one per bill."""

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        super().__init__(load, settings, seed)
        self.charged: dict[str, int] = defaultdict(int)
        self.versions: dict[str, int] = defaultdict(int)
        self.cached_versions: dict[tuple[int, str], int] = defaultdict(int)

    def hold(self, request: Request) -> None:
        """Write the hold, with retries after conflicts."""
        self.write(request, request.bound, self.fleet.now, 0)

    def settle(self, request: Request) -> None:
        """Write the difference between the bill and the hold."""
        self.write(request, request.used - request.bound, None, 0)

    def write(
        self, request: Request, tokens: int, requested_at: float | None, conflicts: int
    ) -> None:
        """Send one conditional write to the table."""
        version = self.cached_versions[request.daemon, request.budget]
        delay = self.fleet.faults.table_delay
        self.fleet.schedule(
            delay,
            partial(
                self.apply_write, request, tokens, requested_at, conflicts, version
            ),
        )

    def apply_write(
        self,
        request: Request,
        tokens: int,
        requested_at: float | None,
        conflicts: int,
        version: int,
    ) -> None:
        """Apply one conditional write, or retry or refuse after a conflict."""
        delay = self.fleet.faults.table_delay
        if self.fleet.faults.outage:
            self.handle_outage(request, tokens, requested_at)
            return
        self.writes += 1
        # The reply to a conflict contains the row, so that no read is needed.
        self.cached_versions[request.daemon, request.budget] = self.versions[
            request.budget
        ]
        if version != self.versions[request.budget]:
            retry = partial(self.write, request, tokens, requested_at, conflicts + 1)
            if requested_at is None or conflicts < MAX_CONFLICTS:
                self.fleet.schedule(delay, retry)
            else:
                self.refuse(request, "conflicts")
        elif self.charged[request.budget] + tokens > self.get_limit(request.budget):
            self.refuse(request, "budget_exhausted")
        else:
            self.charged[request.budget] += tokens
            self.versions[request.budget] += 1
            self.cached_versions[request.daemon, request.budget] += 1
            if requested_at is not None:
                self.fleet.schedule(delay, partial(self.grant, request, requested_at))

    def handle_outage(
        self, request: Request, tokens: int, requested_at: float | None
    ) -> None:
        """Refuse a hold, or retry a bill later, while the table is unavailable."""
        if requested_at is not None:
            self.refuse(request, "platform_unavailable")
        else:
            retry = partial(self.write, request, tokens, None, 0)
            self.fleet.schedule(BATCH_INTERVAL_SECONDS, retry)


class EqualShares(Scheme):
    """Baseline (b): a fixed, equal share of every budget per daemon."""

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        super().__init__(load, settings, seed)
        self.charged: dict[tuple[int, str], int] = defaultdict(int)
        self.unflushed: set[int] = set()

    def hold(self, request: Request) -> None:
        """Grant the request if the daemon's share covers it."""
        key = request.daemon, request.budget
        share = self.get_limit(request.budget) // self.load.daemons
        if self.charged[key] + request.bound > share:
            self.refuse(request, "share_exhausted")
            return
        self.charged[key] += request.bound
        self.grant(request, self.fleet.now)

    def settle(self, request: Request) -> None:
        """Free the unused tokens and schedule a batched write of the bills."""
        self.charged[request.daemon, request.budget] += request.used - request.bound
        if request.daemon not in self.unflushed:
            self.unflushed.add(request.daemon)
            self.fleet.schedule(
                BATCH_INTERVAL_SECONDS, partial(self.flush, request.daemon)
            )

    def flush(self, daemon: int) -> None:
        """Write the pending bills of a daemon in one batch."""
        self.unflushed.discard(daemon)
        self.writes += 1


class CachedCounter(Scheme):
    """Baseline (c): a shared counter that daemons read and update periodically."""

    def __init__(self, load: Load, settings: Settings, seed: int) -> None:
        super().__init__(load, settings, seed)
        self.counter: dict[str, int] = defaultdict(int)
        self.cached_totals: dict[int, dict[str, int]] = defaultdict(dict)
        self.deltas: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        for daemon in range(load.daemons):
            at = BATCH_INTERVAL_SECONDS * daemon / load.daemons
            self.fleet.schedule(at, partial(self.synchronise, daemon))

    def hold(self, request: Request) -> None:
        """Grant the request if the cached total leaves room for it."""
        cached_total = self.cached_totals[request.daemon].get(request.budget, 0)
        own_delta = self.deltas[request.daemon][request.budget]
        if cached_total + own_delta + request.bound > self.get_limit(request.budget):
            self.refuse(request, "budget_exhausted")
            return
        self.deltas[request.daemon][request.budget] += request.bound
        self.grant(request, self.fleet.now)

    def settle(self, request: Request) -> None:
        """Replace the hold by the actual cost in the daemon's pending delta."""
        difference = request.used - request.bound
        self.deltas[request.daemon][request.budget] += difference

    def synchronise(self, daemon: int) -> None:
        """Add the daemon's pending deltas to the counter and read it."""
        if daemon in self.dead:
            return
        self.fleet.schedule(BATCH_INTERVAL_SECONDS, partial(self.synchronise, daemon))
        if self.fleet.faults.outage:
            return
        deltas = self.deltas.pop(daemon, {})
        self.writes += any(deltas.values())
        self.reads += 1
        for name, tokens in deltas.items():
            self.counter[name] += tokens
        self.cached_totals[daemon] = dict(self.counter)


#: Schemes by the name that is printed in the table.
SCHEMES: dict[str, type[Scheme]] = {
    "ledgers": Ledgers,
    "(a) write per request": WritePerRequest,
    "(b) equal shares": EqualShares,
    "(c) cached counter": CachedCounter,
}
