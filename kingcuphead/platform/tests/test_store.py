import asyncio
import json

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from kingcuphead.platform import Change, Store
from kingcuphead.storage import (
    Check,
    Committed,
    Conflict,
    NotSent,
    Replied,
    ReplyLost,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)

TRANSACTION = Transaction((Check("a", 1),), ())
BAD_ROW = {"table": "t", "part": "p", "key": "a", "ver": 3, "value": "a"}
GOOD_ROW = {"table": "t", "part": "p", "key": "b", "ver": 4, "value": "b2s="}


class ScriptedHandler(RequestHandler):
    """Answers every call with the reply that the test has set."""

    def initialize(self, script):
        self.script = script

    def answer(self):
        for name, value in self.script.headers:
            self.add_header(name, value)
        self.set_status(self.script.status)
        self.finish(self.script.body)

    get = post = answer


class ScriptedStore:
    """Reply of the stand-in for the platform's store, and a client of it."""

    def __init__(self):
        self.status = 200
        self.headers = []
        self.body = b"{}"

    def reply(self, status, body, *headers):
        self.status = status
        self.body = json.dumps(body).encode()
        self.headers = list(headers)

    def call(self, operation):
        """Start the stand-in and run one operation of the client against it."""

        async def run():
            sock, port = bind_unused_port()
            application = Application([(".*", ScriptedHandler, {"script": self})])
            server = HTTPServer(application)
            server.add_socket(sock)
            store = Store(f"127.0.0.1:{port}")
            try:
                return await operation(store)
            finally:
                store.close()
                server.stop()
                await server.close_all_connections()

        return asyncio.run(run())


@pytest.fixture
def script():
    return ScriptedStore()


class TestRefusals:
    """Guards against a transaction that counts as refused and was applied.

    Credit that is given back would stay with the daemon, too.
    """

    @pytest.mark.parametrize(
        ("status", "outcome"),
        [
            (400, Unavailable()),
            (403, Unavailable()),
            (429, Unavailable()),
            (503, Unavailable()),
            (507, Unavailable()),
            (202, Unknown()),
            (302, Unknown()),
            (408, Unknown()),
            (500, Unknown()),
            (502, Unknown()),
            (504, Unknown()),
        ],
    )
    def test_only_a_status_that_refuses_proves_no_effect(self, script, status, outcome):
        script.reply(status, {})
        committed = script.call(lambda store: store.commit("t", "p", TRANSACTION))
        assert committed == outcome


class TestMalformedReplies:
    def test_transaction_with_an_undecodable_row_is_unknown(self, script):
        script.reply(412, {"rows": [BAD_ROW]})
        outcome = script.call(lambda store: store.commit("t", "p", TRANSACTION))
        assert outcome == Unknown()

    def test_read_skips_a_row_whose_value_is_undecodable(self, script):
        script.reply(200, {"rows": [BAD_ROW, GOOD_ROW], "ver": 4})
        snapshot = script.call(lambda store: store.read_table("t", "p")).ok
        assert snapshot.rows == (Row("b", 4, b"ok"),)

    def test_read_without_valid_rows_is_a_fault(self, script):
        script.reply(200, {"rows": [{**BAD_ROW, "key": 5}]})
        assert script.call(lambda store: store.read_table("t", "p")).is_error()

    def test_feed_skips_a_change_whose_value_is_undecodable(self, script):
        rows = [{**row, "part": ""} for row in (BAD_ROW, GOOD_ROW)]
        script.reply(200, {"rows": rows, "ver": 4})
        changes = script.call(lambda store: store.follow_table("t", 1, 0.1)).ok
        assert (changes.changes, changes.version) == ((Change("b", b"ok"),), 4)

    @pytest.mark.parametrize("version", [4, 9])
    def test_a_truncated_feed_goes_on_after_its_last_change(self, script, version):
        """Guards against lost changes if the reply names the store's own version."""
        rows = [{**GOOD_ROW, "part": ""}]
        script.reply(200, {"rows": rows, "ver": version, "has_more": True})
        changes = script.call(lambda store: store.follow_table("t", 1, 0.1)).ok
        assert (changes.version, changes.has_more) == (4, True)


class TestEra:
    @pytest.mark.parametrize(
        ("values", "era"),
        [
            ((), 0),
            (("3",), 3),
            (("x",), 0),
            (("-1",), 0),
            (("3", "4"), 0),
            (("",), 0),
            ((str(2**63),), 0),
            (("9" * 5_000,), 0),
        ],
    )
    def test_every_reply_names_the_era_it_is_from(self, script, values, era):
        """A malformed era counts as absent, which is era 0."""
        headers = [("Store-Era", value) for value in values]
        script.reply(200, {"rows": [GOOD_ROW], "ver": 4}, *headers)
        assert script.call(lambda store: store.read_table("t", "p")).ok.era == era
        assert script.call(lambda store: store.follow_table("t", 1, 0.1)).ok.era == era
        committed = script.call(lambda store: store.commit("t", "p", TRANSACTION))
        assert committed == Committed(4, era)
        script.reply(412, {"rows": [GOOD_ROW]}, *headers)
        conflict = script.call(lambda store: store.commit("t", "p", TRANSACTION))
        assert conflict == Conflict((Row("b", 4, b"ok"),), era)

    def test_bounds_of_the_store_time_begin_again_in_a_new_era(self, script):
        async def measure(store):
            script.reply(200, {"ver": 1, "now_ms": 9_000_000}, ("Store-Era", "1"))
            await store.commit("t", "p", TRANSACTION)
            script.reply(200, {"ver": 1, "now_ms": 5_000}, ("Store-Era", "2"))
            await store.commit("t", "p", TRANSACTION)
            return store.estimate_time()

        assert 5_000 <= script.call(measure) < 9_000


class TestPolls:
    def test_polls_of_each_table_share_a_connection(self, script):
        """Guards against a new connection for each long poll."""
        script.reply(200, {"rows": [], "ver": 4})

        async def poll(store):
            for _ in range(3):
                await asyncio.gather(
                    store.follow_table("t", 1, 0.1), store.follow_table("u", 1, 0.1)
                )
            return {id(each._stream) for each in store._idle_polls.values()}

        assert len(script.call(poll)) == 2

    def test_polls_go_to_the_new_address(self, script):
        """Guards against a store that was left and still answers."""
        script.reply(200, {"rows": [], "ver": 4})

        async def poll(store):
            await store.follow_table("t", 1, 0.1)
            store.change_address("127.0.0.1:1")
            return await store.follow_table("t", 1, 0.1)

        assert script.call(poll).is_error()


class HangingConnection:
    """Answers no call while the store is out of reach."""

    def __init__(self):
        self.is_reached = True

    async def exchange(self, method, path, body, query, timeout):
        if not self.is_reached:
            await asyncio.sleep(timeout or 2.0)
            return ReplyLost("timeout") if body else NotSent("timeout")
        return Replied(200, b'{"rows": [], "ver": 1, "now_ms": 1}')


class TestEndOfAnOutage:
    """Guards against requests that lack credit for 2 s after the store is back."""

    @pytest.mark.parametrize("writes", [True, False])
    def test_calls_lost_in_the_outage_end_at_the_next_reply(self, writes):
        times = run_outage(writes)
        assert times["lost"] - times["back"] <= 0.1


def run_outage(writes):
    """Return the times at which an outage and a call that was lost in it ended."""
    times = {}
    store = Store("127.0.0.1:1")
    connection = HangingConnection()
    vars(store)["_connection"] = connection

    async def call():
        if writes:
            assert isinstance(await store.commit("t", "p", TRANSACTION), Unknown)
        else:
            assert (await store.read_table("t")).is_error()
        times["lost"] = asyncio.get_running_loop().time()

    async def main():
        await store.read_table("t")
        connection.is_reached = False
        await asyncio.sleep(0.7)
        lost = asyncio.create_task(call())
        await asyncio.sleep(0.4)
        connection.is_reached = True
        times["back"] = asyncio.get_running_loop().time()
        await store.read_table("t")
        await lost

    asyncio.run(main())
    return times
