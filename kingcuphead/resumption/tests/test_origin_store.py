import asyncio
import time

import pytest

from kingcuphead.resumption import BegunStream, OriginStore, StreamOrigin
from kingcuphead.resumption._exchange import SEARCH_TIMEOUT
from kingcuphead.resumption._origin_rows import encode_origins
from kingcuphead.resumption._origin_store import MIN_WRITE_INTERVAL
from kingcuphead.resumption.tests.test_exchange import V1, V2, run
from kingcuphead.storage import Unknown
from kingcuphead.storage.tests._memory_part import MemoryTablePart

STREAM = BegunStream("r1", "pool", "v1")
#: Transactions a second that one part of the store applies.
PART_RATE = 200.0


class CountingPart(MemoryTablePart):
    """Counts calls, which may hang or lose their replies."""

    def __init__(self):
        super().__init__()
        self.reads = 0
        self.commits = 0
        self.is_hanging = False
        self.loses_replies = False

    def estimate_time(self):
        return int(time.monotonic() * 1_000)

    async def read_prefix(self, prefix):
        self.reads += 1
        if self.is_hanging:
            await asyncio.Event().wait()
        return await super().read_prefix(prefix)

    async def commit(self, transaction):
        self.commits += 1
        if self.is_hanging:
            await asyncio.Event().wait()
        outcome = await super().commit(transaction)
        return Unknown() if self.loses_replies else outcome


def run_origins(scenario):
    async def main():
        async with asyncio.timeout(10):
            await scenario(CountingPart())

    asyncio.run(main())


class TestRates:
    @pytest.mark.parametrize("daemons", [1, 7, 30, 195, 300])
    def test_all_daemons_together_stay_far_below_the_rate_of_a_part(self, daemons):
        store = OriginStore(CountingPart(), "d1/1")
        store.apply_fleet_size(daemons)
        assert daemons / store.write_interval <= PART_RATE / 2
        assert store.write_interval >= MIN_WRITE_INTERVAL

    @pytest.mark.parametrize("is_down", [False, True])
    def test_many_requests_read_once(self, is_down):
        async def scenario(part):
            part.is_down = is_down
            store = OriginStore(part, "d1/1")
            await asyncio.gather(*(store.read() for _ in range(50)))
            await store.read()
            assert part.reads == 1

        run_origins(scenario)


class TestWrites:
    @pytest.mark.parametrize("fault", ["is_down", "loses_replies"])
    def test_a_failed_write_is_repeated(self, fault):
        async def scenario(part):
            store, other = OriginStore(part, "d1/1"), OriginStore(part, "d2/1")
            store.record(STREAM)
            setattr(part, fault, True)
            await store.save(["pool"])
            assert store.unsaved_count == 1
            setattr(part, fault, False)
            await store.save(["pool"])
            assert (store.unsaved_count, store.written_count) == (0, 1)
            await other.read()
            assert other.find("r1") == STREAM
            assert other.find("") is None

        run_origins(scenario)

    def test_versions_of_expired_rows_do_not_count(self):
        """A service would have several versions for a minute after each start."""

        async def scenario(part):
            row = encode_origins("d1/1/000001", [STREAM], 1)
            part.rows[row.key] = row.value
            store = OriginStore(part, "d2/1")
            await store.read()
            assert store.list_versions() == frozenset()

        run_origins(scenario)

    def test_rows_of_daemons_that_ended_are_removed_after_their_lifetime(
        self, monkeypatch
    ):
        """Nothing expires in the store on its own."""
        module = "kingcuphead.resumption._origin_store"
        for name in ("STREAM_LIFETIME", "REMOVAL_DELAY", "MIN_REMOVAL_SPREAD"):
            monkeypatch.setattr(f"{module}.{name}", 0.1)
        monkeypatch.setattr(
            "kingcuphead.resumption._origin_journal.STREAM_LIFETIME", 0.4
        )

        async def scenario(part):
            dead, other = OriginStore(part, "d1/1"), OriginStore(part, "d2/1")
            dead.record(STREAM)
            await dead.save(["pool"])
            # A small fleet waits for no longer than the shortest spread.
            other.apply_fleet_size(0)
            await other.read()
            await other.remove_expired()
            assert len(part.rows) == 1
            await asyncio.sleep(0.6)
            await other.remove_expired()
            assert part.rows == {}
            reads = part.reads
            await other.remove_expired()
            assert part.reads == reads

        run_origins(scenario)


class TestLossOfAllDaemons:
    def test_streams_that_began_before_the_second_version_go_on_too(self):
        """Whole daemons with two versions from the start are tested in `entry`."""

        async def scenario(network):
            first = await network.start("a")
            first.record_start(STREAM)
            network.versions = [V1, V2]
            task = asyncio.create_task(first.run())
            await asyncio.sleep(2 * MIN_WRITE_INTERVAL)
            task.cancel()
            network.exchanges.clear()
            second = await network.start("b")
            origin = await second.find_origin("r1", ["pool"])
            assert origin == StreamOrigin("v1", "pool")

        run(scenario)

    def test_a_row_that_arrives_late_is_found_by_a_second_read(self):
        """The store may perform a call of a killed daemon after the next start."""

        async def scenario(network):
            network.versions = [V1, V2]
            daemon = await network.start("b")
            dead = OriginStore(network.origin_table, "a")
            dead.record(STREAM)
            await dead.save(["pool"])
            assert await daemon.find_origin("r1", ["pool"]) is None
            await asyncio.sleep(1.0)
            assert await daemon.find_origin("r1", ["pool"]) is not None

        run(scenario)

    @pytest.mark.parametrize("request_id", ["r1", ""])
    @pytest.mark.parametrize("has_read_versions", [True, False])
    def test_a_store_that_hangs_delays_a_refusal_by_a_bounded_time(
        self, request_id, has_read_versions
    ):
        async def scenario(network):
            part = CountingPart()
            part.is_hanging = True
            network.versions = [V1, V2]
            if has_read_versions:
                network.origin_table.is_down = True
                daemon = await network.start("a")
                daemon.origins._table = part
            else:
                network.table = part
                starting = asyncio.create_task(network.start("a"))
                await asyncio.sleep(0)
                daemon = network.exchanges["a"]
            started_at = time.monotonic()
            assert await daemon.find_origin(request_id, ["pool"]) is None
            assert time.monotonic() - started_at < SEARCH_TIMEOUT + 0.3
            if not has_read_versions:
                starting.cancel()

        run(scenario)

    def test_a_version_of_a_stream_counts_although_its_own_row_is_missing(self):
        """With one version in the table, the stream would be taken for its own."""

        async def scenario(network):
            dead = OriginStore(network.origin_table, "a")
            dead.record(BegunStream("r2", "pool", "v2"))
            await dead.save(["pool"])
            daemon = await network.start("b")
            assert await daemon.find_origin("r1", ["pool"]) is None

        run(scenario)
