"""Sans-I/O machine that follows the configuration and never goes back."""

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
    PeerAnswered,
    PeerAsked,
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
from kingcuphead.configuration._reading import (
    ChangesStep,
    HeadStep,
    Reading,
    ReplayFault,
    ScanStep,
    Step,
    replay_changes,
)
from kingcuphead.configuration._rows import (
    RECORD_PREFIX,
    StoredRecord,
    decode_head,
    decode_stored,
    get_version,
)
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.invariants import ensure
from kingcuphead.records import SCHEMA, RecordFault
from kingcuphead.storage import Row

#: Least seconds between two reads of the head row that peers prompt.
PROMPTED_INTERVAL_SECONDS = 0.1
#: Seconds before a read is repeated that failed after a success.
RETRY_SECONDS = 0.1
#: Most times that the wait before a repeated read doubles.
MAX_DOUBLINGS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPolicy:
    """Times and limits of the watcher."""

    #: Seconds between two reads of the head row.
    poll_interval: float = 1.0
    #: Seconds after which a read counts as lost.
    read_timeout: float = 2.0
    #: Seconds without confirmation until the daemon is stale.
    stale_after: float = 15.0
    #: Seconds without confirmation until requests are refused.
    refuse_after: float = 3600.0
    #: Highest schema version that this build reads.
    schema: int = SCHEMA


class Watcher:
    """Follow the table, and peers while the table is out of reach.

    Parameters
    ----------
    instance : str
        Name of this daemon.
    policy : WatchPolicy
        Times and limits.
    """

    def __init__(self, instance: str, policy: WatchPolicy) -> None:
        self._instance = instance
        self._policy = policy
        self._snapshot: Snapshot | None = None
        self._reading: Reading | None = None
        # The step whose read failed; it is repeated at the next poll.
        self._interrupted: Step | None = None
        self._attempt = 0
        self._next_poll = float("-inf")
        self._last_poll = float("-inf")
        self._failures = 0
        self._confirmed_at: float | None = None
        self._freshness = Freshness.MISSING
        self._peers: dict[str, int] = {}
        # When each peer was first asked: all of its answers are later than that.
        self._first_asked: dict[str, float] = {}

    @property
    def name(self) -> str:
        """Name of this daemon."""
        return self._instance

    @property
    def snapshot(self) -> Snapshot | None:
        """What is in force, or None before the first configuration."""
        return self._snapshot

    @property
    def confirmed_at(self) -> float | None:
        """Time at which the revision in force was certainly the newest one."""
        return self._confirmed_at

    def assess(self, now: float) -> Freshness:
        """Return how sure the daemon is of its revision.

        Ask at each request: after a pause the answer changes before any message
        arrives.
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
        """Take one message at time `now` and return what follows from it."""
        before = self._snapshot
        effects = (*self._handle(message, now), *self._report_freshness(now))
        if before is not None:
            after = self._snapshot
            ensure(
                after is before
                or (after is not None and after.revision > before.revision),
                "a revision is only ever replaced by a higher one",
                before=before.revision,
                after=after and after.revision,
            )
        return effects

    def _handle(self, message: WatcherMessage, now: float) -> Iterator[WatcherEffect]:
        match message:
            case HeadRead() | ChangesRead() | RecordsRead() | ReadFailed():
                yield from self._take_reply(message, now)
            case PeerRevision():
                yield from self._take_peer_revision(message, now)
            case ConfigurationRequested(sender=sender):
                yield from self._answer_peer(sender, now)
            case ConfigurationOffered():
                yield from self._take_offer(message)
            case RefreshRequested():
                if self._reading is None:
                    yield from self._poll(now)
            case Ticked():
                yield from self._tick(now)

    def _take_reply(
        self, reply: HeadRead | ChangesRead | RecordsRead | ReadFailed, now: float
    ) -> Iterator[WatcherEffect]:
        reading = self._reading
        if reading is None or reading.attempt != reply.attempt:
            return  # A late reply to a read that was given up.
        self._reading = None
        if isinstance(reply, ReadFailed):
            yield from self._give_up(reading.step, now)
            return
        self._failures = 0
        match reading.step, reply:
            case HeadStep(scanned=scanned), HeadRead(row=row):
                yield from self._take_head(scanned, row, reading.started, now)
            case ScanStep(scanned=scanned), RecordsRead():
                yield from self._take_records(scanned, reply, now)
            case ChangesStep() as step, ChangesRead(rows=rows):
                yield from self._take_changes(step, rows, now)

    def _tick(self, now: float) -> Iterator[WatcherEffect]:
        reading = self._reading
        if reading and now - reading.started >= self._policy.read_timeout:
            self._reading = None
            yield from self._give_up(reading.step, now)
        elif reading is None and now >= self._next_poll:
            yield from self._poll(now)

    def _poll(self, now: float) -> Iterator[WatcherEffect]:
        self._last_poll = now
        if self._interrupted is None:
            self._next_poll = now + self._policy.poll_interval
        yield self._start(self._interrupted or HeadStep(None), now)

    def _start(self, step: Step, now: float) -> WatcherEffect:
        self._interrupted = None
        self._attempt += 1
        self._reading = Reading(self._attempt, now, step)
        match step:
            case HeadStep():
                return HeadRequested(self._attempt)
            case ScanStep(after=after):
                return ScanRequested(self._attempt, RECORD_PREFIX, after)
            case ChangesStep():
                return ReadRequested(self._attempt, step.keys)

    def _give_up(self, step: Step, now: float) -> Iterator[WatcherEffect]:
        self._interrupted = step
        # One lost reply is made up for at once; an outage is not answered by more
        # reads than usual.
        backoff = RETRY_SECONDS * 2 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        self._next_poll = now + min(backoff, self._policy.poll_interval)
        yield from self._ask_peer(now)

    def _take_head(
        self, scanned: Snapshot | None, row: Row | None, started: float, now: float
    ) -> Iterator[WatcherEffect]:
        head, version = decode_head(row), get_version(row)
        base = scanned or self._snapshot
        if base is None and row is not None:
            yield self._start(ScanStep(Snapshot(head, version)), now)
        elif base is None:
            yield from self._apply(Snapshot(), started)
        elif head.revision < base.revision:
            yield RevisionRefused(head.revision, f"{base.revision} was read before")
        elif head.revision > base.revision:
            yield self._start(ChangesStep(base, head, version, started), now)
        elif head != base.head:
            yield RevisionRefused(head.revision, "two changes claim this revision")
        elif base.is_whole:
            yield from self._apply(base, started)
        else:
            yield RevisionRefused(head.revision, "the scan does not match the head row")

    def _take_records(
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
            yield self._start(HeadStep(scanned), now)
        else:
            yield self._start(ScanStep(scanned, page.resume_after), now)

    def _take_changes(
        self, step: ChangesStep, rows: tuple[Row, ...], now: float
    ) -> Iterator[WatcherEffect]:
        try:
            snapshot = replay_changes(step, rows, self._policy.schema)
        except ReplayFault as fault:
            yield RevisionRefused(step.last, fault.problem)
            return
        yield from self._apply(snapshot, step.asked_at if step.is_final else None)
        if not step.is_final:
            yield from self._poll(now)

    def _apply(
        self, snapshot: Snapshot, confirmed_at: float | None
    ) -> Iterator[WatcherEffect]:
        """Put a snapshot in force, unless as high a revision is in force already."""
        ensure(snapshot.is_whole, "only whole snapshots apply", head=snapshot.head)
        current = self._snapshot
        if current is None or snapshot.revision > current.revision:
            self._snapshot = snapshot
            self._interrupted = None
            self._peers = {
                peer: revision
                for peer, revision in self._peers.items()
                if revision > snapshot.revision
            }
            yield ConfigurationApplied(snapshot.configuration)
        stands = self._snapshot is not None and snapshot.head == self._snapshot.head
        if confirmed_at is not None and stands:
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

    def _take_peer_revision(
        self, peer: PeerRevision, now: float
    ) -> Iterator[WatcherEffect]:
        if peer.revision == self._revision and peer.confirmed_at is not None:
            ensure(peer.confirmed_at <= now, "confirmations lie in the past", at=now)
            self._confirm(peer.confirmed_at)
        if peer.revision <= self._revision:
            return
        self._peers[peer.instance] = peer.revision
        if self._failures:
            yield from self._ask_peer(now)
        elif self._reading is None:
            prompted = self._last_poll + PROMPTED_INTERVAL_SECONDS
            self._next_poll = min(self._next_poll, prompted)
            if now >= prompted:
                yield from self._poll(now)

    def _ask_peer(self, now: float) -> Iterator[WatcherEffect]:
        """Ask one of the peers that are ahead, another one each time."""
        if self._peers:
            names = sorted(self._peers)
            name = names[self._attempt % len(names)]
            self._first_asked.setdefault(name, now)
            yield PeerAsked(name)

    def _answer_peer(self, instance: str, now: float) -> Iterator[WatcherEffect]:
        if self._snapshot is not None:
            confirmed = self._confirmed_at
            age = None if confirmed is None else now - confirmed
            content = encode_offer(self._snapshot, age)
            offer = ConfigurationOffered(self._instance, content)
            yield PeerAnswered(instance, offer)

    def _take_offer(self, message: ConfigurationOffered) -> Iterator[WatcherEffect]:
        match decode_offer(message.content, self._policy.schema):
            case Result(tag="ok", ok=offer) if not offer.snapshot.is_whole:
                problem = "the offer is not whole"
                yield RevisionRefused(offer.snapshot.revision, problem)
            case Result(tag="ok", ok=offer):
                confirmed_at = self._date_offer(message.sender, offer)
                yield from self._apply(offer.snapshot, confirmed_at)
            case Result(error=fault):
                yield RevisionRefused(self._peers.get(message.sender, 0), fault.message)

    def _date_offer(self, sender: str, offer: Offer) -> float | None:
        """Return a time at which the offer was certainly the newest, if known."""
        asked = self._first_asked.get(sender)
        if asked is None or offer.age is None:
            return None
        return asked - offer.age
