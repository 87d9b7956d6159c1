"""State of the running daemon for the operators' API."""

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

#: Maximum number of claims in one list.
CLAIM_LIMIT = 500
#: Freshness of the configuration at which requests are served.
_SERVING = frozenset({Freshness.FRESH, Freshness.STALE})


class DaemonBackend:
    """Implements `StateBackend` with the components of a daemon.

    Parameters
    ----------
    assembly
        Components of the running daemon.
    instance
        Instance name of the daemon.
    """

    def __init__(self, assembly: Assembly, instance: str) -> None:
        self._assembly = assembly
        self._event_router = assembly.event_router
        self._instance = instance

    async def describe_revision(self) -> RevisionView:
        """Return the configuration revisions in force on this daemon and its peers."""
        watcher = self._assembly.components.configuration.watcher
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
        """Return the state of each target in this daemon's scheduler."""
        return tuple(
            TargetView(
                name=view.target.name,
                service=view.target.service,
                address=view.target.address,
                state=view.liveness.state.value,
                in_flight=view.load.own,
                limit=view.slots,
            )
            for view in self._assembly.components.scheduler.scheduler.targets
        )

    async def list_quarantined(self) -> tuple[QuarantineView, ...]:
        """Return the quarantined fingerprints."""
        scheduler = self._assembly.components.scheduler.scheduler
        return tuple(
            QuarantineView(entry.fingerprint, entry.targets, entry.remaining)
            for entry in scheduler.list_quarantined(time.monotonic())
        )

    async def release_quarantined(self, fingerprint: str) -> bool:
        """Release a fingerprint on all daemons; False if it is not quarantined here."""
        held = {view.fingerprint for view in await self.list_quarantined()}
        release = queueing.QuarantineReleased(fingerprint)
        self._assembly.components.scheduler.post(release)
        return fingerprint in held

    async def explain(self, request_id: str) -> tuple[Explanation, ...]:
        """Return an explanation for each arrival of the request in the history."""
        return self._assembly.request_log.explain(request_id)

    async def list_claims(
        self, organisation: str
    ) -> Result[tuple[ClaimView, ...], OperatorFault]:
        """Return the first claims of an organisation, in key order."""
        register = ClaimRegister(self._assembly.table)
        match await register.list_claims(organisation, limit=CLAIM_LIMIT):
            case Result(tag="ok", ok=page):
                return Ok(tuple(map(_describe_claim, page.entries)))
            case Result(error=fault):
                return Error(OperatorFault(FaultKind.UNAVAILABLE, fault.message))

    def check_ready(self) -> ReadyView:
        """Return whether this daemon accepts requests of callers.

        A stale configuration is listed as a reason, but requests are still accepted.
        """
        freshness = self._event_router.freshness
        reasons = []
        if self._event_router.is_closing:
            reasons.append("the daemon is shutting down")
        if freshness is not Freshness.FRESH:
            reasons.append(f"the configuration is {freshness.value}")
        ready = freshness in _SERVING and not self._event_router.is_closing
        return ReadyView(ready, freshness.value, tuple(reasons))

    async def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus exposition format.

        They are rendered in a thread, so that a scrape does not block the event loop
        and delay streams.
        """
        components = self._assembly.components
        credit = components.ledger.sum_credit()
        self._assembly.metrics.set_state(
            DaemonState(
                open_requests=components.gateway.open_requests,
                queued=components.scheduler.scheduler.count_queued(),
                free_tokens=credit.free,
                held_tokens=credit.held,
                revision=self._event_router.active_configuration.revision,
                ready=self.check_ready().ready,
            )
        )
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, self._assembly.metrics.render)

    def _iterate_peers(self) -> Iterator[PeerView]:
        for member in self._event_router.view:
            if member.name != self._instance:
                revision = self._event_router.revisions.get(member.name, 0)
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
