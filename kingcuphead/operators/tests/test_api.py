import hashlib
import json
from typing import Any

from tornado.httpclient import HTTPResponse
from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from kingcuphead.budgets import build_shard_key, compute_shard, decode_shard, encode
from kingcuphead.operators import make_operator_application
from kingcuphead.operators.tests.fakes import SHARDS, TOKEN, Desk
from kingcuphead.storage import Put, Transaction

AUTHORISED = {"Authorization": f"Bearer {TOKEN}", "Operator": "ana"}
BUDGET = {"kind": "budget", "schema": 1, "name": "b"}


class OperatorCase(AsyncHTTPTestCase):
    def get_app(self) -> Application:
        self.desk = Desk()
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        return make_operator_application(self.desk.backend, ("0" * 64, digest))

    def setUp(self) -> None:
        super().setUp()
        self.io_loop.run_sync(self.begin)

    async def begin(self) -> None:
        self.desk.start()

    def tearDown(self) -> None:
        self.io_loop.run_sync(self.desk.stop)
        super().tearDown()

    def call(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> HTTPResponse:
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        content = None if body is None else json.dumps(body)
        return self.fetch(
            path,
            method=method,
            body=content,
            headers=AUTHORISED | named,
            allow_nonstandard_methods=True,
        )

    def read(self, method: str, path: str, body: Any = None, **headers: str) -> Any:
        return json.loads(self.call(method, path, body, **headers).body)


class TestTokens(OperatorCase):
    def test_every_endpoint_but_health_needs_a_token(self) -> None:
        for path in ("/records/budget", "/revision", "/metrics", "/nowhere"):
            for headers in ({}, {"Authorization": "Bearer wrong"}):
                assert self.fetch(path, headers=headers).code == 401
        assert self.fetch("/healthz").code == 200
        assert self.fetch("/readyz").code == 200

    def test_readiness_turns_off(self) -> None:
        self.desk.state.ready = False
        answer = self.fetch("/readyz")
        assert answer.code == 503
        assert json.loads(answer.body)["reasons"] == ["shutting down"]


class TestRecords(OperatorCase):
    def put(self, body: Any = BUDGET, **headers: str) -> HTTPResponse:
        return self.call("PUT", "/records/budget/b", body, **headers)

    def test_life_of_a_record(self) -> None:
        assert json.loads(self.put(If_None_Match="*").body)["revision"] == 1
        shown = self.call("GET", "/records/budget/b")
        assert shown.headers["ETag"] == '"1"'
        assert json.loads(shown.body) == {"revision": 1, "record": BUDGET}
        changed = BUDGET | {"policy": "available"}
        assert self.put(changed, If_Match='"1"').code == 200
        assert len(self.read("GET", "/records/budget")) == 1
        assert self.call("DELETE", "/records/budget/b", If_Match="2").code == 200
        assert self.call("GET", "/records/budget/b").code == 404
        history = self.read("GET", "/changes?after=1")
        assert [change["revision"] for change in history] == [2, 3]

    def test_conflict_names_the_other_change(self) -> None:
        self.put(If_None_Match="*")
        self.put(If_Match="1", Operator="boris")
        answer = self.put(If_Match="1")
        fault = json.loads(answer.body)["error"]
        assert (answer.code, fault["kind"]) == (409, "conflict")
        assert fault["other"]["author"] == "boris"
        assert fault["other"]["touched"] == [{"kind": "budget", "name": "b"}]

    def test_lost_reply_is_read_back(self) -> None:
        self.desk.table.lose = 1
        assert json.loads(self.put(If_None_Match="*").body)["revision"] == 1

    def test_repetition_has_no_second_effect(self) -> None:
        for _ in range(2):
            answer = self.put(If_None_Match="*", Change_Id="c1")
            assert json.loads(answer.body) == {"id": "c1", "revision": 1}

    def test_refusals(self) -> None:
        cases: tuple[tuple[Any, dict[str, str], int, str], ...] = (
            (BUDGET, {}, 428, "If-Match"),
            (BUDGET, {"If_Match": "1", "Change_Id": "a/b"}, 422, "Change-Id"),
            (BUDGET | {"name": "x"}, {"If_Match": "1"}, 422, "the path says"),
            (BUDGET | {"schema": 9}, {"If_Match": "1"}, 422, "schema version 9"),
            (BUDGET | {"more": 1}, {"If_Match": "1"}, 422, "unknown field"),
        )
        for body, headers, status, text in cases:
            answer = self.put(body, **headers)
            assert answer.code == status
            assert text in json.loads(answer.body)["error"]["message"]
        assert self.call("GET", "/records/tenant").code == 404

    def test_several_edits_take_effect_together(self) -> None:
        edits = [
            {"type": "put", "record": BUDGET, "expected": 0},
            {"type": "put", "record": BUDGET | {"name": "c"}, "expected": 5},
        ]
        body = {"id": "c1", "author": "ana", "edits": edits}
        assert self.call("POST", "/changes", body).code == 409
        assert self.read("GET", "/records/budget") == []


class TestBudgets(OperatorCase):
    def create(self, id_: str = "i1", limit: int = 100) -> HTTPResponse:
        return self.call("POST", "/budgets/b", {"id": id_, "limit": limit})

    def test_commands_take_effect_once_for_each_id(self) -> None:
        self.desk.table.lose = 1
        assert self.create().code == 201
        assert self.create().code == 201
        assert self.create("i2").code == 422
        for _ in range(2):
            top_up = {"id": "p1", "tokens": 50}
            assert self.call("POST", "/budgets/b/top-ups", top_up).code == 201
        assert self.read("GET", "/budgets/b")["limit"] == 150
        lowered = self.read("PUT", "/budgets/b/limit", {"id": "l1", "limit": 120})
        assert lowered["limit"] == 120
        raised = self.call("PUT", "/budgets/b/limit", {"id": "l2", "limit": 999})
        assert raised.code == 422
        assert [each["budget"] for each in self.read("GET", "/budgets")] == ["b"]

    def test_grant_of_a_terminated_instance_is_released(self) -> None:
        self.create()
        self.open_grant("gone")
        report = self.read("GET", "/budgets/b")
        assert report["grants"][0]["unattributed"]
        released = self.call("POST", "/budgets/b/grants/g/release", {"id": "r1"})
        assert json.loads(released.body)["remaining"] == 100

    def test_grant_of_a_live_instance_is_kept(self) -> None:
        self.create()
        self.open_grant("alive")
        released = self.call("POST", "/budgets/b/grants/g/release", {"id": "r1"})
        assert released.code == 422

    def open_grant(self, holder: str) -> None:
        table = self.desk.table.inner
        key = build_shard_key(compute_shard("b", SHARDS))
        row = decode_shard(table.read_now((key,))[0].value)
        state = row.budgets["b"].with_grant("g", holder, 30)
        put = Put(key, encode(row.with_budget("b", state)))
        table.commit_now(Transaction((), (put,)))

    def test_other_number_of_shards_is_refused(self) -> None:
        self.create()
        self.desk.backend.budgets._shards = SHARDS + 1  # type: ignore[attr-defined]
        answer = self.call("POST", "/budgets/c", {"id": "i", "limit": 1})
        assert "laid out for 4" in json.loads(answer.body)["error"]["message"]


class TestState(OperatorCase):
    def test_views(self) -> None:
        assert self.read("GET", "/revision")["peers"][0]["revision"] == 6
        assert self.read("GET", "/targets")[0]["state"] == "live"
        assert self.read("GET", "/explain/r1")[0]["reason"] == "budget_exhausted"
        assert self.call("GET", "/explain/r2").code == 404
        assert self.read("GET", "/claims/o")[0]["state"] == "held"
        assert self.call("GET", "/metrics").body == b"requests_total 1\n"

    def test_quarantine_is_released_once(self) -> None:
        assert self.read("GET", "/quarantine")[0]["fingerprint"] == "f1"
        assert self.call("DELETE", "/quarantine/f1").code == 200
        assert self.call("DELETE", "/quarantine/f1").code == 404
