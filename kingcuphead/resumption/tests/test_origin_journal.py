import random

import pytest

from kingcuphead.resumption import STREAM_LIFETIME, BegunStream, ServedVersion
from kingcuphead.resumption._origin_journal import (
    MAX_BATCH_ROWS,
    MAX_PENDING,
    MAX_ROW_STREAMS,
    MAX_ROW_WRITES,
    OriginJournal,
)
from kingcuphead.resumption._origin_rows import (
    DIGEST_BYTES,
    decode_origins,
    digest_id,
    encode_origins,
)
from kingcuphead.storage import Delete, Row

#: Entries of a transaction, as the store bounds them.
MAX_ENTRIES = 100


def make_stream(number, version="v1", service="pool"):
    return BegunStream(f"r{number}", service, version)


class Store:
    """Rows that transactions write, in the place of the platform's store."""

    def __init__(self):
        self.rows = {}
        self.late = []
        self.calls = 0

    def apply(self, transaction):
        self.calls += 1
        assert len(transaction.writes) <= MAX_ENTRIES
        for write in transaction.writes:
            if isinstance(write, Delete):
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = write.value

    def read(self):
        """Return the origins of all streams by the digests of their ids."""
        rows = [Row(key, 1, value) for key, value in self.rows.items()]
        origins = {}
        for each in decode_origins(rows):
            origins.update(each.origins)
        return origins

    def find(self, stream):
        return self.read().get(digest_id(stream.request_id))


def prepare(journal, now):
    """Return what has to be written of the service with several versions."""
    batch = journal.prepare(("pool",), now, int(now * 1000))
    assert batch is not None
    return batch


def save(journal, store, now, services=("pool",)):
    batch = journal.prepare(services, now, int(now * 1000))
    if batch is not None:
        store.apply(batch.transaction)
        journal.confirm(batch)


class TestWhatIsWritten:
    def test_nothing_while_the_service_has_one_version(self):
        """Every call of every daemon is priced."""
        journal = OriginJournal("d1/1")
        journal.record(make_stream(1), 0.0)
        assert journal.prepare((), 0.1, 100) is None
        assert journal.prepare(("other",), 0.1, 100) is None

    def test_nothing_when_no_stream_began(self):
        journal, store = OriginJournal("d1/1"), Store()
        journal.record(make_stream(1), 0.0)
        save(journal, store, 0.1)
        save(journal, store, 0.2)
        assert store.calls == 1

    def test_streams_that_began_before_the_second_version_came(self):
        """They were refused, since their version wasn't the only one any more."""
        journal, store = OriginJournal("d1/1"), Store()
        journal.record(make_stream(1), 0.0)
        save(journal, store, 0.1, services=())
        save(journal, store, STREAM_LIFETIME - 0.1)
        assert store.find(make_stream(1)) == ServedVersion("pool", "v1")

    def test_but_none_that_nobody_may_take_up_any_more(self):
        journal, store = OriginJournal("d1/1"), Store()
        journal.record(make_stream(1), 0.0)
        save(journal, store, STREAM_LIFETIME)
        assert store.calls == 0

    def test_a_burst_fits_into_transactions_and_rows(self):
        journal, store = OriginJournal("d1/1"), Store()
        streams = [make_stream(number) for number in range(MAX_PENDING)]
        for stream in streams:
            journal.record(stream, 0.0)
        save(journal, store, 0.1)
        assert all(map(store.find, streams[:: MAX_ROW_STREAMS // 2]))
        assert max(map(len, store.rows.values())) < 65_536
        assert len(store.rows) <= MAX_BATCH_ROWS

    def test_a_refused_batch_is_written_again_with_what_came_since(self):
        journal, store = OriginJournal("d1/1"), Store()
        journal.record(make_stream(1), 0.0)
        prepare(journal, 0.1)
        journal.record(make_stream(2), 0.2)
        assert journal.count_unsaved() == 1
        save(journal, store, 0.3)
        assert store.find(make_stream(1)) == store.find(make_stream(2)) is not None
        assert journal.count_unsaved() == 0

    def test_a_batch_that_is_applied_late_replaces_nothing(self):
        """The store may perform a call without reply seconds later."""
        journal, store = OriginJournal("d1/1"), Store()
        journal.record(make_stream(1), 0.0)
        lost = prepare(journal, 0.1)
        journal.abandon(lost)
        journal.record(make_stream(2), 0.2)
        save(journal, store, 0.3)
        store.apply(lost.transaction)
        assert store.find(make_stream(1)) == store.find(make_stream(2)) is not None


class TestExpiry:
    def test_expired_rows_go_with_the_next_write(self):
        journal, store = OriginJournal("d1/1"), Store()
        journal.record(make_stream(1), 0.0)
        save(journal, store, 0.1)
        journal.record(make_stream(2), STREAM_LIFETIME - 1.0)
        save(journal, store, STREAM_LIFETIME - 0.9)
        journal.record(make_stream(3), STREAM_LIFETIME)
        save(journal, store, STREAM_LIFETIME + 0.1)
        assert store.find(make_stream(1)) is None
        assert store.calls == 3

    def test_the_last_rows_go_in_one_call(self):
        journal, store = OriginJournal("d1/1"), Store()
        for number in range(3 * MAX_ROW_WRITES):
            journal.record(make_stream(number), number * 0.25)
            save(journal, store, number * 0.25)
        assert len(store.rows) == 3
        for tick in range(400):
            save(journal, store, 8.0 + tick * 0.25)
        assert store.rows == {}
        assert store.calls == 3 * MAX_ROW_WRITES + 1

    @pytest.mark.parametrize("gap", [0.25, 1.0, 7.0, 29.0])
    def test_few_rows_are_there_at_any_time(self, gap):
        """Every daemon that starts reads the rows of all."""
        journal, store = OriginJournal("d1/1"), Store()
        for number in range(int(2 * STREAM_LIFETIME / gap)):
            now = number * gap
            journal.record(make_stream(number), now)
            save(journal, store, now)
            writes = min(STREAM_LIFETIME / gap, number + 1)
            assert len(store.rows) <= writes / MAX_ROW_WRITES + 4


@pytest.mark.parametrize("seed", range(20))
class TestRandomRuns:
    def test_each_live_stream_is_stored_once_its_batch_is_confirmed(self, seed):
        rng = random.Random(seed)
        journal, store = OriginJournal("d1/1"), Store()
        begun, now = {}, 0.0
        for number in range(300):
            now += rng.expovariate(1.0 / 0.3)
            stream = make_stream(
                number, rng.choice(["v1", "v2"]), rng.choice(["pool", "other"])
            )
            journal.record(stream, now)
            begun[stream] = now
            for late in list(store.late):
                if rng.random() < 0.3:
                    store.late.remove(late)
                    store.apply(late)
            if stream.service_name == "other":
                continue
            batch = prepare(journal, now)
            match rng.choice(["applied", "refused", "lost", "late"]):
                case "applied":
                    store.apply(batch.transaction)
                    journal.confirm(batch)
                    self.check(store, begun, now)
                case "lost":
                    journal.abandon(batch)
                case "late":
                    store.late.append(batch.transaction)
                    journal.abandon(batch)

    def check(self, store, begun, now):
        origins = store.read()
        for stream, begun_at in begun.items():
            found = origins.get(digest_id(stream.request_id))
            expected = ServedVersion(stream.service_name, stream.software_version)
            if stream.service_name == "other":
                assert found is None
            elif now - begun_at < STREAM_LIFETIME:
                assert found == expected


class TestRows:
    def test_rows_of_a_newer_daemon_may_have_more_fields(self):
        """Daemons of two versions run side by side during an upgrade."""
        put = encode_origins("k", [make_stream(1)], 5)
        value = put.value.replace(b'{"expires_ms"', b'{"zone":"z","expires_ms"')
        (saved,) = decode_origins([Row("k", 1, value)])
        assert saved.origins == {digest_id("r1"): ServedVersion("pool", "v1")}
        assert saved.expires_ms == 5

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xff",
            b"{}",
            b'{"expires_ms":"x","groups":[]}',
            b'{"expires_ms":1,"groups":[{"service":"a","software_version":"b"}]}',
            b'{"expires_ms":1,"groups":'
            b'[{"service":"a","software_version":"b","digests":"AAAA"}]}',
            b'{"expires_ms":1,"groups":'
            b'[{"service":"a","software_version":"b","digests":"?"}]}',
        ],
    )
    def test_a_malformed_row_is_left_out(self, value):
        put = encode_origins("k", [make_stream(1)], 5)
        rows = [Row("a", 1, value), Row("k", 1, put.value)]
        assert [each.row.key for each in decode_origins(rows)] == ["k"]

    def test_long_ids_take_no_more_bytes(self):
        short = encode_origins("k", [make_stream(1)], 5)
        long = encode_origins("k", [BegunStream("r" * 5_000, "pool", "v1")], 5)
        assert len(long.value) == len(short.value)
        assert len(digest_id("r" * 5_000)) == DIGEST_BYTES
