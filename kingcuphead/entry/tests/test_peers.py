import asyncio

import msgspec
import pytest
from expression import Error, Ok
from loguru import logger

from kingcuphead.addresses import Address
from kingcuphead.entry._peers import DaemonRow, PeerDiscovery
from kingcuphead.storage import (
    Committed,
    Delete,
    PlatformFault,
    Put,
    Row,
    RowSnapshot,
    Unavailable,
)

OWN = ("10.0.0.1", 7340)
OTHER = Row("10.0.0.2", 1, msgspec.json.encode(DaemonRow("10.0.0.2", 7340)))


class ScriptedStore:
    """Loses the first writes, and forgets rows when the test says so."""

    def __init__(self, lost_writes=0):
        self.lost_writes = lost_writes
        self.rows = {OTHER.key: OTHER}
        self.is_down = False

    async def commit(self, table, part, transaction):
        if self.lost_writes:
            self.lost_writes -= 1
            return Unavailable()
        for write in transaction.writes:
            match write:
                case Put(key, value):
                    self.rows[key] = Row(key, 2, value)
                case Delete(key):
                    del self.rows[key]
        return Committed(2)

    async def read_table(self, table, part):
        if self.is_down:
            return Error(PlatformFault("read", "down"))
        return Ok(RowSnapshot(tuple(self.rows.values()), 2))


def make_discovery(store, apply_peers, poll_interval=0.01):
    return PeerDiscovery(store, OWN, apply_peers, poll_interval)


class TestPeerDiscovery:
    def run(self, store, change=None):
        """Discover peers for several polls; call `change` between two of them."""

        async def discover():
            task = asyncio.create_task(discovery.run())
            await asyncio.sleep(0.05)
            if change is not None:
                change()
            await asyncio.sleep(0.05)
            task.cancel()

        peers: list[tuple[tuple[str, int], ...]] = []
        discovery = make_discovery(store, peers.append)
        asyncio.run(discover())
        return peers

    def test_the_other_daemons_are_listed(self):
        store = ScriptedStore()
        assert self.run(store)[-1] == (("10.0.0.2", 7340),)
        assert OWN[0] in store.rows

    @pytest.mark.parametrize("lost_writes", [1, 3])
    def test_a_lost_registration_is_repeated(self, lost_writes):
        store = ScriptedStore(lost_writes)
        self.run(store)
        assert OWN[0] in store.rows

    def test_a_daemon_that_is_heard_of_first_is_listed_at_once(self):
        store = ScriptedStore()
        new = Row("10.0.0.3", 1, msgspec.json.encode(DaemonRow("10.0.0.3", 7340)))
        peers: list[tuple[tuple[str, int], ...]] = []

        async def discover():
            discovery = make_discovery(store, peers.append, poll_interval=60.0)
            task = asyncio.create_task(discovery.run())
            await asyncio.sleep(0.02)
            store.rows[new.key] = new
            for _ in range(3):
                discovery.record_sender(("10.0.0.3", 7340))
                await asyncio.sleep(0.02)
            task.cancel()

        asyncio.run(discover())
        assert len(peers) == 2
        assert ("10.0.0.3", 7340) in peers[-1]

    def test_a_row_that_a_restore_removed_is_written_again(self):
        store = ScriptedStore()
        self.run(store, lambda: store.rows.pop(OWN[0]))
        assert OWN[0] in store.rows

    def test_a_daemon_that_leaves_does_not_register_again(self):
        store = ScriptedStore()

        async def leave():
            discovery = make_discovery(store, lambda peers: None)
            task = asyncio.create_task(discovery.run())
            await asyncio.sleep(0.05)
            await discovery.deregister()
            await asyncio.sleep(0.05)
            task.cancel()

        asyncio.run(leave())
        assert OWN[0] not in store.rows

    def test_the_last_list_stays_while_the_store_is_down(self):
        store = ScriptedStore()
        store.is_down = True
        assert self.run(store) == []


class TestUndecodableRows:
    """Guards against a row of another version that stops the exchange of datagrams."""

    def discover(self, value, polls=5):
        store = ScriptedStore()
        store.rows["x"] = Row("x", 1, value)
        found: list[tuple[Address, ...]] = []
        lines: list[str] = []

        async def run():
            task = asyncio.create_task(make_discovery(store, found.append).run())
            async with asyncio.timeout(5):
                while len(found) < polls and not task.done():
                    await asyncio.sleep(0.01)
            if task.done():
                await task
            task.cancel()

        sink = logger.add(
            lambda line: lines.append(str(line)), format="{message}", level="WARNING"
        )
        try:
            asyncio.run(run())
        finally:
            logger.remove(sink)
        return found[-1], lines

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"[]",
            b"\xff",
            b'{"host": "\xff", "port": 1}',
            b'{"host": "10.0.0.3"}',
            b'{"host": "10.0.0.3", "port": "1"}',
            b'{"host": "10.0.0.3", "port": 0}',
            b'{"host": "10.0.0.3", "port": 70000}',
            b'{"host": "10.0.0.3", "port": -1}',
            b'{"host": "d3.example", "port": 7340}',
            b'{"host": "a..b", "port": 7340}',
            b'{"host": "", "port": 7340}',
            b'{"host": "fe80::1", "port": 7340}',
        ],
    )
    def test_an_undecodable_row_is_left_out_with_one_line(self, value):
        peers, lines = self.discover(value)
        assert peers == (("10.0.0.2", 7340),)
        assert len(lines) == 1
        assert len(lines[0]) <= 300

    def test_new_fields_of_a_row_are_ignored(self):
        row = {"host": "10.0.0.3", "port": 7340, "version": "2", "ports": [1]}
        peers, lines = self.discover(msgspec.json.encode(row))
        assert peers == (("10.0.0.2", 7340), ("10.0.0.3", 7340))
        assert lines == []
