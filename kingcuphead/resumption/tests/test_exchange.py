import asyncio

import pytest

from kingcuphead.resumption import (
    BegunStream,
    OriginStore,
    ResumptionExchange,
    ServedVersion,
    StreamAsked,
    StreamOrigin,
    StreamsBegan,
)
from kingcuphead.resumption._exchange import (
    ANNOUNCEMENT_DELAY,
    MAX_VIEW_AGE,
    RETRY_DELAY,
)
from kingcuphead.resumption._rows import encode_row
from kingcuphead.resumption._shared_read import SharedRead
from kingcuphead.storage.tests._memory_part import MemoryTablePart
from kingcuphead.targets import Availability, Target

V1, V2 = "v1", "v2"
STREAM = BegunStream("r1", "pool", "v1")


def make_target(version):
    return Target(
        f"t-{version}",
        "pool",
        "10.0.0.1:80",
        "z",
        4,
        Availability.READY,
        1,
        software_version=version,
    )


class View:
    """A view of the targets, in the place of a daemon's directory."""

    def __init__(self, network):
        self.network = network
        self.age = 0.0
        self.store_failed_at = float("-inf")

    def list_all(self):
        return [make_target(version) for version in self.network.versions]

    def get_age(self):
        return self.age


class Network:
    """Daemons that hear each other at once, unless they were killed."""

    def __init__(self):
        self.table = MemoryTablePart()
        self.origin_table = MemoryTablePart()
        self.versions = [V1]
        #: Versions by the entries of targets in the store; None while it is away.
        self.served = None
        self.reads_served = False
        self.views = {}
        self.sent = []
        self.exchanges = {}

    async def start(self, name):
        def broadcast(message):
            self.sent.append(message)
            for other in [each for each in self.exchanges if each != name]:
                self.exchanges[other].handle_message(
                    message, lambda reply: exchange.handle_message(reply, broadcast)
                )

        view = self.views[name] = View(self)
        origins = OriginStore(self.origin_table, name)

        async def read_served():
            await asyncio.sleep(0.01)
            return self.served

        exchange = ResumptionExchange(
            self.table,
            view,
            broadcast,
            broadcast,
            origins,
            read_served if self.reads_served else None,
        )
        self.exchanges[name] = exchange
        await exchange.synchronise()
        return exchange


def run(scenario):
    async def main():
        async with asyncio.timeout(10):
            await scenario(Network())

    asyncio.run(main())


class TestOneVersion:
    def test_nothing_is_sent(self):
        async def scenario(network):
            daemon = await network.start("a")
            daemon.record_start(STREAM)
            await asyncio.sleep(2 * ANNOUNCEMENT_DELAY)
            assert network.sent == []

        run(scenario)

    @pytest.mark.parametrize("request_id", ["unknown", ""])
    def test_a_stream_of_unknown_origin_can_only_have_begun_there(self, request_id):
        async def scenario(network):
            daemon = await network.start("a")
            origin = await daemon.find_origin(request_id, ["pool"])
            assert origin == StreamOrigin("v1")

        run(scenario)

    def test_the_daemon_that_began_a_stream_knows_better(self):
        """A target of another version may have come and not be known here."""

        async def scenario(network):
            first, second = await network.start("a"), await network.start("b")
            first.record_start(BegunStream("r1", "pool", "v2"))
            origin = await second.find_origin("r1", ["pool"])
            assert origin == StreamOrigin("v2", "pool")

        run(scenario)

    @pytest.mark.parametrize(
        ("request_id", "origin"), [("r1", None), ("", StreamOrigin("v1"))]
    )
    def test_a_daemon_that_is_cut_from_the_store_is_not_certain(
        self, request_id, origin
    ):
        """Callers that name no try get what is known, as there is nobody to ask."""

        async def scenario(network):
            daemon = await network.start("a")
            network.views["a"].age = MAX_VIEW_AGE + 0.1
            assert await daemon.find_origin(request_id, ["pool"]) == origin

        run(scenario)

    @pytest.mark.parametrize("was_known", [False, True])
    def test_nor_one_that_missed_versions_while_it_was_cut(
        self, was_known, monkeypatch
    ):
        async def scenario(network):
            row = encode_row(ServedVersion("pool", "v2"))
            if was_known:
                network.table.rows[row.key] = row.value
            daemon = await network.start("a")
            monkeypatch.setattr("kingcuphead.resumption._history.STREAM_LIFETIME", 0.6)
            await asyncio.sleep(0.7)
            network.views["a"].store_failed_at = asyncio.get_running_loop().time()
            assert await daemon.find_origin("r1", ["pool"]) is None
            network.table.rows[row.key] = row.value
            await daemon.synchronise()
            assert await daemon.find_origin("r1", ["pool"]) is None

        run(scenario)

    def test_new_daemons_know_the_versions_before_their_time(self):
        async def scenario(network):
            await network.start("a")
            network.versions = [V2]
            network.exchanges.clear()
            daemon = await network.start("b")
            assert await daemon.find_origin("r1", ["pool"]) is None

        run(scenario)

    def test_new_daemons_are_not_certain_before_they_read_the_table(self):
        async def scenario(network):
            network.table.is_down = True
            daemon = await network.start("a")
            assert await daemon.find_origin("r1", ["pool"]) is None
            network.table.is_down = False
            await daemon.synchronise()
            assert await daemon.find_origin("r1", ["pool"]) == StreamOrigin("v1")

        run(scenario)

    def test_nor_for_callers_that_name_no_try(self):
        """Streams were joined from two versions: the older one's targets had gone."""

        async def scenario(network):
            row = encode_row(ServedVersion("pool", "v2"))
            network.table.rows[row.key] = row.value
            network.table.is_down = True
            daemon = await network.start("a")
            assert await daemon.find_origin("", ["pool"]) is None
            asking = asyncio.create_task(daemon.find_origin("", ["pool"]))
            await asyncio.sleep(0.05)
            network.table.is_down = False
            await daemon.synchronise()
            assert await asking is None

        run(scenario)

    def test_requests_wait_briefly_until_the_table_was_read(self):
        async def scenario(network):
            network.table.is_down = True
            daemon = await network.start("a")
            asking = asyncio.create_task(daemon.find_origin("", ["pool"]))
            await asyncio.sleep(0.05)
            network.table.is_down = False
            await daemon.synchronise()
            assert await asking == StreamOrigin("v1")

        run(scenario)


class TestSeveralVersions:
    def test_another_daemon_is_asked(self):
        async def scenario(network):
            first, second = await network.start("a"), await network.start("b")
            first.record_start(STREAM)
            network.versions = [V1, V2]
            origin = await second.find_origin("r1", ["pool"])
            assert origin == StreamOrigin("v1", "pool")
            assert network.sent[0] == StreamAsked("r1")

        run(scenario)

    @pytest.mark.parametrize("is_begun_before", [True, False])
    def test_the_others_know_the_streams_of_a_daemon_that_was_killed(
        self, is_begun_before
    ):
        """Also those that began before the second version came."""

        async def scenario(network):
            first, second = await network.start("a"), await network.start("b")
            if is_begun_before:
                first.record_start(STREAM)
                network.versions = [V1, V2]
                task = asyncio.create_task(first.run())
            else:
                network.versions = [V1, V2]
                task = asyncio.create_task(first.run())
                await asyncio.sleep(0)
                first.record_start(STREAM)
            await asyncio.sleep(3 * ANNOUNCEMENT_DELAY)
            task.cancel()
            del network.exchanges["a"]
            network.sent.clear()
            origin = await second.find_origin("r1", ["pool"])
            assert origin == StreamOrigin("v1", "pool")
            assert network.sent == []

        run(scenario)

    def test_a_stream_that_nobody_knows_has_no_origin(self):
        async def scenario(network):
            network.versions = [V1, V2]
            daemon = await network.start("a")
            assert await daemon.find_origin("r1", ["pool"]) is None
            assert network.sent == [StreamAsked("r1")] * 3

        run(scenario)

    def test_streams_are_announced_together(self):
        async def scenario(network):
            network.versions = [V1, V2]
            daemon = await network.start("a")
            streams = tuple(BegunStream(f"r{n}", "pool", "v1") for n in range(30))
            task = asyncio.create_task(daemon.run())
            await asyncio.sleep(0)
            for stream in streams:
                daemon.record_start(stream)
            await asyncio.sleep(3 * ANNOUNCEMENT_DELAY)
            task.cancel()
            assert network.sent == [StreamsBegan(streams)]

        run(scenario)


class TestTable:
    def test_a_version_is_stored_once_and_removed_after_its_streams(self, monkeypatch):
        async def scenario(network):
            daemon = await network.start("a")
            assert len(network.table.rows) == 1
            monkeypatch.setattr("kingcuphead.resumption._history.STREAM_LIFETIME", 0.05)
            network.versions = [V2]
            await asyncio.sleep(0.1)
            await daemon.find_origin("r1", ["pool"])
            await daemon.synchronise()
            assert len(network.table.rows) == 1
            assert b"v2" in next(iter(network.table.rows.values()))

        run(scenario)

    def test_a_refused_write_is_repeated_soon(self):
        """The row was missing for 30 s, in which all daemons might be killed."""

        async def scenario(network):
            daemon = await network.start("a")
            network.versions = [V1, V2]
            network.table.refuses_writes = True
            task = asyncio.create_task(daemon.run())
            await asyncio.sleep(0.1)
            network.table.refuses_writes = False
            await asyncio.sleep(2 * RETRY_DELAY)
            task.cancel()
            assert len(network.table.rows) == 2

        run(scenario)

    def test_a_version_that_only_another_daemon_saw_is_kept(self):
        """Without its row a daemon that starts takes the other for the only one."""

        async def scenario(network):
            daemon = await network.start("a")
            row = encode_row(ServedVersion("pool", "v2"))
            network.table.rows[row.key] = row.value
            await daemon.synchronise()
            assert len(network.table.rows) == 2
            assert await daemon.find_origin("r1", ["pool"]) is None

        run(scenario)

    @pytest.mark.parametrize("value", [b"", b"{}", b'{"service":1}', b"\xff"])
    def test_a_malformed_row_is_left_out(self, value):
        async def scenario(network):
            network.table.rows["k"] = value
            daemon = await network.start("a")
            assert await daemon.find_origin("r1", ["pool"]) == StreamOrigin("v1")

        run(scenario)


class TestOutOfStep:
    """Guards against streams of two versions at a daemon whose view is too old."""

    @pytest.mark.parametrize("age", [0.0, 0.2, 1.0])
    @pytest.mark.parametrize(
        ("served", "origin"),
        [([V1], StreamOrigin("v1")), ([V1, V2], None), ([V2], None), (None, None)],
        ids=["one", "new version joined", "new version only", "store away"],
    )
    def test_the_store_is_asked_which_versions_serve(self, age, served, origin):
        """Other daemons are out of reach, and know that the stream began at `v2`."""

        async def scenario(network):
            network.reads_served = True
            daemon = await network.start("a")
            network.views["a"].age = age
            if served is not None:
                network.served = frozenset(ServedVersion("pool", v) for v in served)
            assert await daemon.find_origin("r1", ["pool"]) == origin

        run(scenario)

    def test_callers_that_come_back_together_share_reads(self):
        reads = []

        async def read():
            reads.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.02)
            return True

        async def main():
            shared = SharedRead(read)
            await asyncio.gather(*(shared.run() for _ in range(50)))
            begun_at = asyncio.get_running_loop().time()
            first = asyncio.create_task(shared.run())
            await asyncio.sleep(0.01)
            asked_at = asyncio.get_running_loop().time()
            await asyncio.gather(first, shared.run())
            assert len(reads) == 3
            assert reads[1] >= begun_at
            assert reads[2] >= asked_at

        asyncio.run(main())
