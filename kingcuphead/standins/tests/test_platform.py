from typing import Any

import msgspec
import pytest
from tornado.testing import AsyncHTTPTestCase, gen_test

from kingcuphead.standins import platform
from kingcuphead.standins._lagging_list import LaggingList
from kingcuphead.standins._platform_state import PlatformState
from kingcuphead.storage import (
    ABSENT,
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    HttpInstanceList,
    HttpObjectStore,
    HttpTable,
    Instance,
    InstanceState,
    PlatformConnection,
    PlatformSettings,
    Put,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)

INSERT = Transaction((Check("a", ABSENT),), (Put("a", b"\x00\xff"),))
INSTANCE = Instance("i-1", "pool", "z", "127.0.0.1:1", InstanceState.LIVE)


class PlatformCase(AsyncHTTPTestCase):
    def get_app(self):
        self.state = PlatformState()
        return platform.make_application(self.state)

    def setUp(self):
        super().setUp()
        settings = PlatformSettings(self.get_url(""), request_timeout=1.0)
        self.connection = PlatformConnection(settings)
        self.table = HttpTable(self.connection)

    def tearDown(self):
        self.connection.close()
        super().tearDown()

    def set_faults(self, **faults: Any) -> None:
        self.fetch("/switches", method="POST", body=msgspec.json.encode(faults))


class TestHttpTable(PlatformCase):
    @gen_test
    async def test_round_trip(self):
        assert await self.table.commit(INSERT) == Committed(1)
        assert await self.table.commit(INSERT) == Conflict((Row("a", 1, b"\x00\xff"),))
        assert (await self.table.read(["a", "b"])).ok == (Row("a", 1, b"\x00\xff"),)
        assert (await self.table.scan("a")).ok.rows == (Row("a", 1, b"\x00\xff"),)


class TestTableFaults(PlatformCase):
    def check_commit(self, faults: Any, outcome: CommitOutcome, rows: int) -> None:
        self.set_faults(table=faults)
        assert self.io_loop.run_sync(lambda: self.table.commit(INSERT)) == outcome
        assert len(self.state.table.rows) == rows

    def test_refused_commit(self):
        self.check_commit({"outage": "refuse"}, Unavailable(), 0)

    def test_connection_closed_before_the_effect(self):
        self.check_commit({"outage": "reset"}, Unknown(), 0)

    def test_reply_lost_after_the_effect(self):
        self.check_commit({"lose_replies": 1}, Unknown(), 1)

    def test_reply_slower_than_the_timeout(self):
        self.check_commit({"reply_delay": 3.0}, Unknown(), 1)

    def test_closed_port(self):
        self.http_server.stop()
        assert self.io_loop.run_sync(lambda: self.table.commit(INSERT)) == Unavailable()

    def test_failed_read_names_the_cause(self):
        self.set_faults(table={"outage": "refuse"})
        fault = self.io_loop.run_sync(lambda: self.table.read(["a"])).error
        assert fault.message == "platform read failed: HTTP 503"


class TestHttpObjectStore(PlatformCase):
    @gen_test
    async def test_round_trip(self):
        store = HttpObjectStore(self.connection)
        assert (await store.get("bills/1")).ok is None
        assert (await store.put("bills/1", b"\x00")).is_ok()
        assert (await store.get("bills/1")).ok == b"\x00"


class TestHttpInstanceList(PlatformCase):
    @gen_test
    async def test_returns_the_instances_set_by_the_test(self):
        self.state.instances.update(INSTANCE, 0.0)
        fetched = await HttpInstanceList(self.connection).fetch()
        assert fetched.ok == (INSTANCE,)


class TestLaggingList:
    @pytest.mark.parametrize(("now", "visible"), [(11.9, ()), (12.0, (INSTANCE,))])
    def test_change_is_visible_after_the_lag(self, now, visible):
        instances = LaggingList(lag=2.0)
        instances.update(INSTANCE, 10.0)
        assert instances.view(now) == visible

    def test_frozen_list_ignores_changes(self):
        instances = LaggingList()
        instances.freeze(9.0)
        instances.update(INSTANCE, 10.0)
        assert instances.view(20.0) == ()
        instances.unfreeze()
        assert instances.view(20.0) == (INSTANCE,)
