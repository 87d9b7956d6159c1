"""Sans-I/O state machine that keeps a daemon's configuration up to date."""

import dataclasses
from collections.abc import Iterator

from expression import Result

from kingcuphead.configuration._messages import (
    ChangesRead,
    ConfigurationApplied,
    ConfigurationOffered,
    ConfigurationRequested,
    Freshness,
    FreshnessChanged,
    HeadRead,
    HeadRequested,
    OfferReplied,
    OfferRequested,
    PeerRevision,
    ReadFailed,
    ReadRequested,
    RecordsRead,
    RefreshRequested,
    RevisionRefused,
    ScanRequested,
    Ticked,
    WatcherEffect,
    WatcherMessage,
)
from kingcuphead.configuration._offers import Offer, decode_offer, encode_offer
from kingcuphead.configuration._rows import (
    RECORD_PREFIX,
    StoredRecord,
    decode_head,
    decode_stored,
    get_version,
)
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.configuration._table_reads import (
    ChangesStep,
    HeadStep,
    PendingRead,
    ReplayFault,
    ScanStep,
    Step,
    replay_changes,
)
from kingcuphead.invariants import ensure
from kingcuphead.records import SCHEMA, RecordFault
from kingcuphead.storage import Row

#: Minimum seconds between a poll and the next one that a peer's revision triggers.
PEER_POLL_INTERVAL_SECONDS = 0.1
#: Seconds before the first retry of a failed read.
RETRY_SECONDS = 0.1
#: Maximum number of times that the retry delay doubles.
MAX_BACKOFF_DOUBLINGS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPolicy:
    """Intervals, timeouts and limits of the watcher."""

    #: Poll interval of the head row, in seconds.
    poll_interval: float = 1.0
    #: Timeout of one read of the table, in seconds.
    read_timeout: float = 2.0
    #: Seconds without confirmation after which the configuration is stale.
    stale_after: float = 15.0
    #: Seconds without confirmation after which requests are refused.
    refuse_after: float = 3600.0
    #: Highest schema version that this build reads.
    schema: int = SCHEMA


class Watcher:
    """Apply new revisions from the table, or from peers while reads of it fail.

    A revision is only ever replaced by a higher one. It is confirmed when the table,
    or a peer that has read the table, shows that it is the newest one.

    Parameters
    ----------
    instance : str
        Name of this daemon.
    policy : WatchPolicy
        Intervals, timeouts and limits.
    """

    def __init__(self, instance: str, policy: WatchPolicy) -> None:
        self._instance = instance
        self._policy = policy
        self._snapshot: Snapshot | None = None
        self._pending_read: PendingRead | None = None
        # Step whose read failed; the next poll retries it.
        self._failed_step: Step | None = None
        self._attempt = 0
        self._next_poll = float("-inf")
        self._last_poll = float("-inf")
        self._failures = 0
        self._confirmed_at: float | None = None
        self._freshness = Freshness.MISSING
        self._newer_peer_revisions: dict[str, int] = {}
        # Time of the first offer request to each peer. Every reply of the peer is
        # later, so that a confirmation dated from it is never too recent.
        self._first_requested_at: dict[str, float] = {}

    @property
    def name(self) -> str:
        """Name of this daemon, as peers address it."""
        return self._instance

    @property
    def snapshot(self) -> Snapshot | None:
        """Snapshot in force, or None before the first configuration."""
        return self._snapshot

    @property
    def confirmed_at(self) -> float | None:
        """Latest time at which the revision in force is confirmed to be the newest.

        None if it was never confirmed.
        """
        return self._confirmed_at

    def assess(self, now: float) -> Freshness:
        """Return the freshness of the configuration at time `now`.

        It is evaluated for each request: after a pause of the process the freshness
        has changed before the watcher receives any message.
        """
        if self._snapshot is None:
            return Freshness.MISSING
        if self._confirmed_at is None:
            return Freshness.EXPIRED
        age = now - self._confirmed_at
        if age >= self._policy.refuse_after:
            return Freshness.EXPIRED
        return Freshness.STALE if age >= self._policy.stale_after else Freshness.FRESH

    def receive(self, message: WatcherMessage, now: float) -> tuple[WatcherEffect, ...]:
        """Handle one message at time `now` and return the effects to execute."""
        before = self._snapshot
        effects = (*self._handle(message, now), *self._report_freshness(now))
        if before is not None:
            after = self._snapshot
            ensure(
                after is before
                or (after is not None and after.revision > before.revision),
                "a revision is replaced only by a higher one",
                before=before.revision,
                after=after and after.revision,
            )
        return effects

    def _handle(self, message: WatcherMessage, now: float) -> Iterator[WatcherEffect]:
        match message:
            case HeadRead() | ChangesRead() | RecordsRead() | ReadFailed():
                yield from self._handle_reply(message, now)
            case PeerRevision():
                yield from self._handle_peer_revision(message, now)
            case ConfigurationRequested(sender=sender):
                yield from self._reply_with_offer(sender, now)
            case ConfigurationOffered():
                yield from self._handle_offer(message)
            case RefreshRequested():
                if self._pending_read is None:
                    yield from self._poll(now)
            case Ticked():
                yield from self._tick(now)

    def _handle_reply(
        self, reply: HeadRead | ChangesRead | RecordsRead | ReadFailed, now: float
    ) -> Iterator[WatcherEffect]:
        pending = self._pending_read
        if pending is None or pending.attempt != reply.attempt:
            return  # A late reply to a read that timed out.
        self._pending_read = None
        if isinstance(reply, ReadFailed):
            yield from self._handle_failed_read(pending.step, now)
            return
        self._failures = 0
        match pending.step, reply:
            case HeadStep(scanned=scanned), HeadRead(row=row):
                yield from self._handle_head(scanned, row, pending.requested_at, now)
            case ScanStep(scanned=scanned), RecordsRead():
                yield from self._handle_records(scanned, reply, now)
            case ChangesStep() as step, ChangesRead(rows=rows):
                yield from self._handle_changes(step, rows, now)

    def _tick(self, now: float) -> Iterator[WatcherEffect]:
        pending = self._pending_read
        if pending and now - pending.requested_at >= self._policy.read_timeout:
            self._pending_read = None
            yield from self._handle_failed_read(pending.step, now)
        elif pending is None and now >= self._next_poll:
            yield from self._poll(now)

    def _poll(self, now: float) -> Iterator[WatcherEffect]:
        self._last_poll = now
        if self._failed_step is None:
            self._next_poll = now + self._policy.poll_interval
        yield self._start_read(self._failed_step or HeadStep(None), now)

    def _start_read(self, step: Step, now: float) -> WatcherEffect:
        self._failed_step = None
        self._attempt += 1
        self._pending_read = PendingRead(self._attempt, now, step)
        match step:
            case HeadStep():
                return HeadRequested(self._attempt)
            case ScanStep(after=after):
                return ScanRequested(self._attempt, RECORD_PREFIX, after)
            case ChangesStep():
                return ReadRequested(self._attempt, step.keys)

    def _handle_failed_read(self, step: Step, now: float) -> Iterator[WatcherEffect]:
        self._failed_step = step
        # Exponential backoff up to the poll interval: a single lost reply is retried
        # quickly, and an outage does not raise the read rate.
        backoff = RETRY_SECONDS * 2 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._failures += 1
        self._next_poll = now + min(backoff, self._policy.poll_interval)
        yield from self._request_offer(now)

    def _handle_head(
        self, scanned: Snapshot | None, row: Row | None, requested_at: float, now: float
    ) -> Iterator[WatcherEffect]:
        head, version = decode_head(row), get_version(row)
        base = scanned or self._snapshot
        if base is None and row is not None:
            yield self._start_read(ScanStep(Snapshot(head, version)), now)
        elif base is None:
            yield from self._apply(Snapshot(), requested_at)
        elif head.revision < base.revision:
            yield RevisionRefused(
                head.revision,
                f"older than revision {base.revision}, which was read before",
            )
        elif head.revision > base.revision:
            yield self._start_read(ChangesStep(base, head, version, requested_at), now)
        elif head != base.head:
            yield RevisionRefused(
                head.revision,
                "the head row differs from the one read before at this revision",
            )
        elif base.is_consistent:
            yield from self._apply(base, requested_at)
        else:
            yield RevisionRefused(head.revision, "the scan does not match the head row")

    def _handle_records(
        self, scanned: Snapshot, page: RecordsRead, now: float
    ) -> Iterator[WatcherEffect]:
        records: list[StoredRecord] = []
        faults: list[RecordFault] = []
        for row in page.rows:
            decoded = decode_stored(row.value, self._policy.schema)
            decoded.map(records.append)
            decoded.map_error(faults.append)
        if faults:
            yield RevisionRefused(scanned.revision, faults[0].message)
            return
        scanned = scanned.with_records(records)
        if page.resume_after is None:
            yield self._start_read(HeadStep(scanned), now)
        else:
            yield self._start_read(ScanStep(scanned, page.resume_after), now)

    def _handle_changes(
        self, step: ChangesStep, rows: tuple[Row, ...], now: float
    ) -> Iterator[WatcherEffect]:
        try:
            snapshot = replay_changes(step, rows, self._policy.schema)
        except ReplayFault as fault:
            yield RevisionRefused(step.last_revision, fault.problem)
            return
        yield from self._apply(snapshot, step.requested_at if step.is_final else None)
        if not step.is_final:
            yield from self._poll(now)

    def _apply(
        self, snapshot: Snapshot, confirmed_at: float | None
    ) -> Iterator[WatcherEffect]:
        """Put a snapshot in force if its revision is higher than the current one."""
        ensure(
            snapshot.is_consistent,
            "only consistent snapshots are applied",
            head=snapshot.head,
        )
        current = self._snapshot
        if current is None or snapshot.revision > current.revision:
            self._snapshot = snapshot
            self._failed_step = None
            self._newer_peer_revisions = {
                peer: revision
                for peer, revision in self._newer_peer_revisions.items()
                if revision > snapshot.revision
            }
            yield ConfigurationApplied(snapshot.configuration)
        is_current = self._snapshot is not None and snapshot.head == self._snapshot.head
        if confirmed_at is not None and is_current:
            self._confirm(confirmed_at)

    @property
    def _revision(self) -> int:
        return -1 if self._snapshot is None else self._snapshot.revision

    def _confirm(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def _report_freshness(self, now: float) -> Iterator[WatcherEffect]:
        freshness = self.assess(now)
        if freshness is not self._freshness:
            self._freshness = freshness
            yield FreshnessChanged(freshness)

    def _handle_peer_revision(
        self, peer: PeerRevision, now: float
    ) -> Iterator[WatcherEffect]:
        if peer.revision == self._revision and peer.confirmed_at is not None:
            ensure(
                peer.confirmed_at <= now,
                "a confirmation is not later than the current time",
                at=now,
            )
            self._confirm(peer.confirmed_at)
        if peer.revision <= self._revision:
            return
        self._newer_peer_revisions[peer.instance] = peer.revision
        if self._failures:
            yield from self._request_offer(now)
        elif self._pending_read is None:
            earliest_poll = self._last_poll + PEER_POLL_INTERVAL_SECONDS
            self._next_poll = min(self._next_poll, earliest_poll)
            if now >= earliest_poll:
                yield from self._poll(now)

    def _request_offer(self, now: float) -> Iterator[WatcherEffect]:
        """Request an offer from a peer with a higher revision, rotating among peers."""
        if self._newer_peer_revisions:
            names = sorted(self._newer_peer_revisions)
            name = names[self._attempt % len(names)]
            self._first_requested_at.setdefault(name, now)
            yield OfferRequested(name)

    def _reply_with_offer(self, instance: str, now: float) -> Iterator[WatcherEffect]:
        if self._snapshot is not None:
            confirmed = self._confirmed_at
            age = None if confirmed is None else now - confirmed
            content = encode_offer(self._snapshot, age)
            offer = ConfigurationOffered(self._instance, content)
            yield OfferReplied(instance, offer)

    def _handle_offer(self, message: ConfigurationOffered) -> Iterator[WatcherEffect]:
        match decode_offer(message.content, self._policy.schema):
            case Result(tag="ok", ok=offer) if not offer.snapshot.is_consistent:
                problem = "the records of the offer do not match its fingerprint"
                yield RevisionRefused(offer.snapshot.revision, problem)
            case Result(tag="ok", ok=offer):
                confirmed_at = self._compute_confirmation_time(message.sender, offer)
                yield from self._apply(offer.snapshot, confirmed_at)
            case Result(error=fault):
                yield RevisionRefused(
                    self._newer_peer_revisions.get(message.sender, 0), fault.message
                )

    def _compute_confirmation_time(self, sender: str, offer: Offer) -> float | None:
        """Return a time at which the offer is confirmed as the newest, or None."""
        requested_at = self._first_requested_at.get(sender)
        if requested_at is None or offer.age is None:
            return None
        return requested_at - offer.age
