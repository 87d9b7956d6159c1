"""What operators read of the running daemon."""

import asyncio
import time
from collections.abc import Iterator

from expression import Error, Ok, Result

from kingcuphead import queueing
from kingcuphead.claims import ClaimEntry, ClaimRegister
from kingcuphead.configuration import Freshness
from kingcuphead.daemon._assembly import Assembly
from kingcuphead.metrics import DaemonState
from kingcuphead.operators import (
    ClaimView,
    Explanation,
    FaultKind,
    OperatorFault,
    PeerView,
    QuarantineView,
    ReadyView,
    RevisionView,
    TargetView,
)

#: Most claims in one list.
CLAIM_LIMIT = 500
#: States in which the configuration allows requests.
_SERVING = frozenset({Freshness.FRESH, Freshness.STALE})


class DaemonBackend:
    """The `StateBackend` of a daemon.

    Parameters
    ----------
    assembly
        The running daemon.
    instance
        Its name.
    """

    def __init__(self, assembly: Assembly, instance: str) -> None:
        self._assembly = assembly
        self._announcements = assembly.announcements
        self._instance = instance

    async def describe_revision(self) -> RevisionView:
        """Return which revision is in force where."""
        watcher = self._assembly.parts.configuration.watcher
        snapshot = watcher.snapshot
        confirmed_at = watcher.confirmed_at
        now = time.monotonic()
        return RevisionView(
            instance=self._instance,
            revision=snapshot.revision if snapshot else None,
            freshness=watcher.assess(now).value,
            confirmed_age=None if confirmed_at is None else now - confirmed_at,
            schema=snapshot.head.schema if snapshot else 0,
            peers=tuple(self._iterate_peers()),
        )

    async def list_targets(self) -> tuple[TargetView, ...]:
        """Return the targets as this daemon sees them."""
        return tuple(
            TargetView(
                name=view.target.name,
                service=view.target.service,
                address=view.target.address,
                state=view.liveness.state.value,
                in_flight=view.load.own,
                limit=view.slots,
            )
            for view in self._assembly.parts.scheduler.scheduler.targets
        )

    async def list_quarantined(self) -> tuple[QuarantineView, ...]:
        """Return the fingerprints that are not run."""
        scheduler = self._assembly.parts.scheduler.scheduler
        return tuple(
            QuarantineView(entry.fingerprint, entry.targets, entry.remaining)
            for entry in scheduler.list_quarantined(time.monotonic())
        )

    async def release_quarantined(self, fingerprint: str) -> bool:
        """Let a fingerprint go on the whole fleet; False if it was not held."""
        held = {view.fingerprint for view in await self.list_quarantined()}
        release = queueing.QuarantineReleased(fingerprint)
        self._assembly.parts.scheduler.post(release)
        return fingerprint in held

    async def explain(self, request_id: str) -> tuple[Explanation, ...]:
        """Return what became of a request, once for each try seen here."""
        return self._assembly.requests.explain(request_id)

    async def list_claims(
        self, organisation: str
    ) -> Result[tuple[ClaimView, ...], OperatorFault]:
        """Return an organisation's claims, in order of their keys."""
        register = ClaimRegister(self._assembly.table)
        match await register.list_claims(organisation, limit=CLAIM_LIMIT):
            case Result(tag="ok", ok=page):
                return Ok(tuple(map(_describe_claim, page.entries)))
            case Result(error=fault):
                return Error(OperatorFault(FaultKind.UNAVAILABLE, fault.message))

    def check_ready(self) -> ReadyView:
        """Return whether callers may be sent here."""
        freshness = self._announcements.freshness
        reasons = []
        if self._announcements.closing:
            reasons.append("the daemon shuts down")
        if freshness is not Freshness.FRESH:
            reasons.append(f"the configuration is {freshness.value}")
        ready = freshness in _SERVING and not self._announcements.closing
        return ReadyView(ready, freshness.value, tuple(reasons))

    async def render_metrics(self) -> bytes:
        """Return the metrics in the exposition format.

        A thread renders them, so that a scrape does not hold up the streams.
        """
        parts = self._assembly.parts
        credit = parts.ledger.sum_credit()
        self._assembly.metrics.set_state(
            DaemonState(
                open_requests=parts.gateway.open_requests,
                queued=parts.scheduler.scheduler.count_queued(),
                free_tokens=credit.free,
                held_tokens=credit.held,
                revision=self._announcements.applied.revision,
                ready=self.check_ready().ready,
            )
        )
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, self._assembly.metrics.render)

    def _iterate_peers(self) -> Iterator[PeerView]:
        for member in self._announcements.view:
            if member.name != self._instance:
                revision = self._announcements.revisions.get(member.name, 0)
                yield PeerView(member.name, member.zone, revision)


def _describe_claim(entry: ClaimEntry) -> ClaimView:
    claim = entry.claim
    return ClaimView(
        organisation=entry.organisation,
        key=entry.key,
        state=entry.state_name,
        request_id=claim.request_id,
        instance=claim.instance,
        claimed_at=claim.claimed_at,
    )
