import dataclasses
import json
import zlib

import pytest

from kingcuphead.configuration import (
    HEAD_KEY,
    ChangesRead,
    ConfigurationApplied,
    ConfigurationOffered,
    ConfigurationRequested,
    Freshness,
    HeadRead,
    HeadRequested,
    OfferReplied,
    OfferRequested,
    PeerRevision,
    PutRecord,
    RaiseSchema,
    ReadFailed,
    ReadRequested,
    RecordsRead,
    RevisionRefused,
    ScanRequested,
    Snapshot,
    Ticked,
    Watcher,
    WatcherEffect,
    WatchPolicy,
    encode_offer,
)
from kingcuphead.configuration.tests.factories import (
    commit,
    encode_budget,
    encode_target,
    fill_table,
    make_change,
    serve_reads,
)
from kingcuphead.records import Service, ServiceKind, encode_record
from kingcuphead.storage import MemoryTable

POLICY = WatchPolicy(stale_after=10.0, refuse_after=100.0)


def make_watcher(table: MemoryTable, policy: WatchPolicy = POLICY) -> Watcher:
    watcher = Watcher("d", policy)
    serve_reads(watcher, watcher.receive(Ticked(), 0.0), table, 0.0)
    return watcher


def start_head_read(watcher: Watcher, now: float) -> int:
    """Tick and return the number of the resulting read of the head row."""
    (request,) = watcher.receive(Ticked(), now)
    assert isinstance(request, HeadRequested)
    return request.attempt


def get_snapshot(watcher: Watcher) -> Snapshot:
    assert watcher.snapshot is not None
    return watcher.snapshot


def get_revision(watcher: Watcher) -> int | None:
    return watcher.snapshot.revision if watcher.snapshot else None


def list_applied(effects: list[WatcherEffect]) -> list[int]:
    applied = [e for e in effects if isinstance(e, ConfigurationApplied)]
    return [effect.configuration.revision for effect in applied]


class TestReplay:
    @pytest.mark.parametrize("changes", [0, 1, 5])
    def test_first_scan_reads_all_records(self, changes):
        table, snapshot = fill_table(changes)
        watcher = make_watcher(table)
        assert get_snapshot(watcher).head == snapshot.head
        assert get_snapshot(watcher).records == snapshot.records

    def test_change_during_the_scan_is_replayed(self):
        table, snapshot = fill_table(2)
        watcher = Watcher("d", POLICY)
        attempt = start_head_read(watcher, 0.0)
        head = table.read_now((HEAD_KEY,))[0]
        effects = watcher.receive(HeadRead(attempt, head), 0.0)
        edit = PutRecord(encode_budget("other"), 0)
        commit(table, snapshot, make_change("c3", edit))
        other_effects = serve_reads(watcher, effects, table, 0.1)
        assert list_applied(other_effects) == [3]

    def test_many_changes_are_replayed_in_chunks(self):
        table, snapshot = fill_table(1)
        watcher = make_watcher(table)
        for number in range(2, 452):
            edit = PutRecord(encode_budget(), snapshot.revision)
            snapshot = commit(table, snapshot, make_change(f"c{number}", edit))
        other_effects = serve_reads(watcher, watcher.receive(Ticked(), 1.0), table, 1.0)
        assert list_applied(other_effects) == [201, 401, 451]

    def test_reply_after_the_timeout_is_ignored(self):
        table, snapshot = fill_table(1)
        watcher = make_watcher(table)
        late = HeadRead(start_head_read(watcher, 1.0), table.read_now((HEAD_KEY,))[0])
        edit = PutRecord(encode_budget(), snapshot.revision)
        commit(table, snapshot, make_change("c2", edit))
        watcher.receive(Ticked(), 3.0)
        start_head_read(watcher, 4.0)
        assert watcher.receive(late, 5.0) == ()
        assert (get_revision(watcher), watcher.confirmed_at) == (1, 0.0)

    def test_lower_head_revision_is_neither_applied_nor_confirmed(self):
        watcher = make_watcher(fill_table(3)[0])
        older, _ = fill_table(2)
        other_effects = serve_reads(
            watcher, watcher.receive(Ticked(), 20.0), older, 20.0
        )
        assert (
            RevisionRefused(2, "older than revision 3, which was read before")
            in other_effects
        )
        assert watcher.assess(20.0) is Freshness.STALE

    def test_diverged_head_row_is_rejected(self):
        watcher = make_watcher(fill_table(1)[0])
        table, other = MemoryTable(), Snapshot()
        commit(table, other, make_change("x", PutRecord(encode_budget("x"), 0)))
        other_effects = serve_reads(watcher, watcher.receive(Ticked(), 1.0), table, 1.0)
        assert other_effects == [
            RevisionRefused(
                1, "the head row differs from the one read before at this revision"
            )
        ]

    def test_missing_change_row_is_rejected(self):
        table, snapshot = fill_table(1)
        watcher = make_watcher(table)
        edit = PutRecord(encode_budget(), snapshot.revision)
        commit(table, snapshot, make_change("c2", edit))
        attempt = start_head_read(watcher, 1.0)
        head = table.read_now((HEAD_KEY,))[0]
        (read,) = watcher.receive(HeadRead(attempt, head), 1.0)
        assert isinstance(read, ReadRequested)
        rejected = watcher.receive(ChangesRead(read.attempt, ()), 1.0)
        assert rejected == (RevisionRefused(2, "change rows are missing"),)

    def test_applying_an_inconsistent_snapshot_raises(self):
        watcher = make_watcher(fill_table(2)[0])
        broken = dataclasses.replace(get_snapshot(watcher), fingerprint=1)
        with pytest.raises(AssertionError, match="only consistent snapshots"):
            list(watcher._apply(broken, None))


class TestMixedSchemas:
    def test_older_build_keeps_the_last_revision_that_it_can_read(self):
        service = encode_record(Service("s", ServiceKind.PLAIN))
        table = MemoryTable()
        first = make_change("c1", PutRecord(service, 0), PutRecord(encode_target(1), 0))
        snapshot = commit(table, Snapshot(), first)
        older = make_watcher(table, dataclasses.replace(POLICY, schema=1))
        newer = make_watcher(table)
        edits = (PutRecord(encode_budget(), 0), PutRecord(encode_target(2), 1))
        commit(table, snapshot, make_change("c2", *edits))
        for watcher in (older, newer):
            serve_reads(watcher, watcher.receive(Ticked(), 11.0), table, 11.0)
        assert (get_revision(older), get_revision(newer)) == (1, 2)
        assert "b" not in get_snapshot(older).configuration.budgets
        assert older.assess(11.0) is Freshness.STALE
        assert (
            get_snapshot(older).configuration.targets
            == get_snapshot(newer).configuration.targets
        )


class TestFreshness:
    @pytest.mark.parametrize(
        ("age", "freshness"),
        [
            (0.0, Freshness.FRESH),
            (9.9, Freshness.FRESH),
            (10.0, Freshness.STALE),
            (99.9, Freshness.STALE),
            (100.0, Freshness.EXPIRED),
        ],
    )
    def test_freshness_depends_on_the_confirmation_age(self, age, freshness):
        assert make_watcher(fill_table(1)[0]).assess(age) is freshness

    def test_confirmation_is_dated_from_the_request(self):
        table, _ = fill_table(1)
        watcher = make_watcher(table)
        attempt = start_head_read(watcher, 1.0)
        reply = HeadRead(attempt, table.read_now((HEAD_KEY,))[0])
        watcher.receive(reply, 60.0)
        assert watcher.confirmed_at == 1.0
        assert watcher.assess(60.0) is Freshness.STALE

    def test_peer_confirms_only_the_same_revision(self):
        watcher = make_watcher(fill_table(2)[0])
        watcher.receive(PeerRevision("p", 1, 50.0), 60.0)
        assert watcher.confirmed_at == 0.0
        watcher.receive(PeerRevision("p", 2, 50.0), 60.0)
        assert watcher.confirmed_at == 50.0


class TestPeers:
    def test_daemon_starts_from_a_peer_during_a_table_outage(self):
        peer = make_watcher(fill_table(3)[0])
        watcher = Watcher("d", POLICY)
        attempt = start_head_read(watcher, 1000.0)
        watcher.receive(ReadFailed(attempt), 1000.0)
        requested = watcher.receive(PeerRevision("p", 3, 990.0), 1001.0)
        assert requested == (OfferRequested("p"),)
        (reply,) = peer.receive(ConfigurationRequested("d"), 4.0)
        assert isinstance(reply, OfferReplied)
        offer = dataclasses.replace(reply.offer, sender="p")
        watcher.receive(offer, 1005.0)
        assert get_revision(watcher) == 3
        assert watcher.confirmed_at == 1001.0 - 4.0
        watcher.receive(PeerRevision("p", 3, 1001.0), 1006.0)
        assert watcher.confirmed_at == 1001.0

    def test_unrequested_offer_confirms_nothing(self):
        watcher = Watcher("d", POLICY)
        offer = ConfigurationOffered("p", encode_offer(fill_table(3)[1], 0.0))
        watcher.receive(offer, 1.0)
        assert get_revision(watcher) == 3
        assert watcher.assess(1.0) is Freshness.EXPIRED

    @pytest.mark.parametrize("revision", [1, 2])
    def test_offer_never_lowers_the_revision(self, revision):
        watcher = make_watcher(fill_table(2)[0])
        offer = ConfigurationOffered("p", encode_offer(fill_table(revision)[1], 0.0))
        assert watcher.receive(offer, 1.0) == ()
        assert get_revision(watcher) == 2

    def test_offer_with_a_diverged_head_confirms_nothing(self):
        watcher = make_watcher(fill_table(1)[0])
        watcher.receive(ReadFailed(start_head_read(watcher, 1.0)), 1.0)
        assert watcher.receive(PeerRevision("p", 2), 1.0) == (OfferRequested("p"),)
        change = make_change("x", PutRecord(encode_budget("x"), 0))
        other = commit(MemoryTable(), Snapshot(), change)
        offer = ConfigurationOffered("p", encode_offer(other, 0.0))
        watcher.receive(offer, 2.0)
        assert watcher.confirmed_at == 0.0

    def test_inconsistent_offer_is_rejected(self):
        snapshot = dataclasses.replace(fill_table(3)[1], records={})
        watcher = make_watcher(fill_table(1)[0])
        offer = ConfigurationOffered("p", encode_offer(snapshot, 0.0))
        (rejected,) = watcher.receive(offer, 1.0)
        assert rejected == RevisionRefused(
            3, "the records of the offer do not match its fingerprint"
        )

    @pytest.mark.parametrize(
        "record", [{"revision": "x"}, {}, [], None, {"revision": 1, "record": 5}]
    )
    def test_offer_with_a_malformed_record_is_rejected(self, record):
        content = json.loads(zlib.decompress(encode_offer(fill_table(3)[1], 0.0)))
        content["records"] = [record]
        offer = ConfigurationOffered("p", zlib.compress(json.dumps(content).encode()))
        watcher = make_watcher(fill_table(1)[0])
        (rejected,) = watcher.receive(offer, 1.0)
        assert isinstance(rejected, RevisionRefused)
        assert get_revision(watcher) == 1

    def test_higher_revision_of_a_peer_triggers_a_read(self):
        watcher = make_watcher(fill_table(1)[0])
        (effect,) = watcher.receive(PeerRevision("p", 2), 0.5)
        assert isinstance(effect, HeadRequested)

    def test_raised_schema_is_applied(self):
        table, snapshot = MemoryTable(), Snapshot()
        first = make_change("c1", PutRecord(encode_budget(), 0))
        snapshot = commit(table, snapshot, first, schema=1)
        assert snapshot.head.schema == 1
        commit(table, snapshot, make_change("c2", RaiseSchema(2)))
        watcher = make_watcher(table)
        assert get_snapshot(watcher).head.schema == 2


class TestFailedReads:
    def test_scan_resumes_at_the_page_that_failed(self):
        table, snapshot = MemoryTable(), Snapshot()
        for name in "abcde":
            change = make_change(name, PutRecord(encode_budget(name), 0))
            snapshot = commit(table, snapshot, change)
        watcher = Watcher("d", POLICY)
        head = HeadRead(start_head_read(watcher, 0.0), table.read_now((HEAD_KEY,))[0])
        (scan,) = watcher.receive(head, 0.0)
        assert isinstance(scan, ScanRequested)
        page = table.scan_now(scan.prefix, None, limit=2)
        records = RecordsRead(scan.attempt, page.rows, page.resume_after)
        (scan,) = watcher.receive(records, 0.0)
        assert isinstance(scan, ScanRequested)
        watcher.receive(ReadFailed(scan.attempt), 0.0)
        (retried,) = watcher.receive(Ticked(), 1.0)
        assert isinstance(retried, ScanRequested)
        assert retried.after == page.resume_after
        serve_reads(watcher, (retried,), table, 1.0)
        assert get_snapshot(watcher).records == snapshot.records

    def test_retry_delay_doubles_up_to_the_poll_interval(self):
        watcher = make_watcher(fill_table(1)[0])
        requested_at = []
        for tick in range(8, 16_000):
            for effect in watcher.receive(Ticked(), tick / 8):
                if isinstance(effect, HeadRequested):
                    requested_at.append(tick / 8)
                    watcher.receive(ReadFailed(effect.attempt), tick / 8)
        assert requested_at[:4] == [1.0, 1.125, 1.375, 1.875]
        assert len(requested_at) <= 2005
