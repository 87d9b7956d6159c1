import hashlib
import json
from typing import Any

from tornado.httpclient import HTTPResponse
from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from kingcuphead.budgets import build_shard_key, compute_shard, decode_shard, encode
from kingcuphead.operators import make_operator_application
from kingcuphead.operators.tests.fakes import SHARDS, TOKEN, BackendHarness
from kingcuphead.storage import Put, Transaction

AUTHORISED = {"Authorization": f"Bearer {TOKEN}", "Operator": "ana"}
BUDGET = {"kind": "budget", "schema": 1, "name": "b"}


class OperatorTestCase(AsyncHTTPTestCase):
    def get_app(self) -> Application:
        self.harness = BackendHarness()
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        return make_operator_application(self.harness.backend, ("0" * 64, digest))

    def setUp(self) -> None:
        super().setUp()
        self.io_loop.run_sync(self.start_harness)

    async def start_harness(self) -> None:
        self.harness.start()

    def tearDown(self) -> None:
        self.io_loop.run_sync(self.harness.stop)
        super().tearDown()

    def send_request(
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

    def fetch_json(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> Any:
        return json.loads(self.send_request(method, path, body, **headers).body)


class TestTokens(OperatorTestCase):
    def test_every_endpoint_but_health_needs_a_token(self) -> None:
        for path in ("/records/budget", "/revision", "/metrics", "/nowhere"):
            for headers in ({}, {"Authorization": "Bearer wrong"}):
                assert self.fetch(path, headers=headers).code == 401
        assert self.fetch("/healthz").code == 200
        assert self.fetch("/readyz").code == 200

    def test_readyz_fails_during_shutdown(self) -> None:
        self.harness.state.ready = False
        response = self.fetch("/readyz")
        assert response.code == 503
        assert json.loads(response.body)["reasons"] == ["shutting down"]


class TestRecords(OperatorTestCase):
    def put(self, body: Any = BUDGET, **headers: str) -> HTTPResponse:
        return self.send_request("PUT", "/records/budget/b", body, **headers)

    def test_record_lifecycle(self) -> None:
        assert json.loads(self.put(If_None_Match="*").body)["revision"] == 1
        shown = self.send_request("GET", "/records/budget/b")
        assert shown.headers["ETag"] == '"1"'
        assert json.loads(shown.body) == {"revision": 1, "record": BUDGET}
        changed = BUDGET | {"policy": "available"}
        assert self.put(changed, If_Match='"1"').code == 200
        assert len(self.fetch_json("GET", "/records/budget")) == 1
        assert (
            self.send_request("DELETE", "/records/budget/b", If_Match="2").code == 200
        )
        assert self.send_request("GET", "/records/budget/b").code == 404
        history = self.fetch_json("GET", "/changes?after=1")
        assert [change["revision"] for change in history] == [2, 3]

    def test_conflict_names_the_other_change(self) -> None:
        self.put(If_None_Match="*")
        self.put(If_Match="1", Operator="boris")
        response = self.put(If_Match="1")
        fault = json.loads(response.body)["error"]
        assert (response.code, fault["kind"]) == (409, "conflict")
        assert fault["other"]["author"] == "boris"
        assert fault["other"]["touched"] == [{"kind": "budget", "name": "b"}]

    def test_lost_reply_is_read_back(self) -> None:
        self.harness.table.replies_to_lose = 1
        assert json.loads(self.put(If_None_Match="*").body)["revision"] == 1

    def test_repeated_change_takes_effect_once(self) -> None:
        for _ in range(2):
            response = self.put(If_None_Match="*", Change_Id="c1")
            assert json.loads(response.body) == {"id": "c1", "revision": 1}

    def test_invalid_changes_are_refused(self) -> None:
        cases: tuple[tuple[Any, dict[str, str], int, str], ...] = (
            (BUDGET, {}, 428, "If-Match"),
            (BUDGET, {"If_Match": "1", "Change_Id": "a/b"}, 422, "Change-Id"),
            (BUDGET | {"name": "x"}, {"If_Match": "1"}, 422, "the path has"),
            (BUDGET | {"schema": 9}, {"If_Match": "1"}, 422, "schema version 9"),
            (BUDGET | {"more": 1}, {"If_Match": "1"}, 422, "unknown field"),
        )
        for body, headers, status, text in cases:
            response = self.put(body, **headers)
            assert response.code == status
            assert text in json.loads(response.body)["error"]["message"]
        assert self.send_request("GET", "/records/tenant").code == 404

    def test_several_edits_take_effect_together(self) -> None:
        edits = [
            {"type": "put", "record": BUDGET, "expected": 0},
            {"type": "put", "record": BUDGET | {"name": "c"}, "expected": 5},
        ]
        body = {"id": "c1", "author": "ana", "edits": edits}
        assert self.send_request("POST", "/changes", body).code == 409
        assert self.fetch_json("GET", "/records/budget") == []


class TestBudgets(OperatorTestCase):
    def create(self, id_: str = "i1", limit: int = 100) -> HTTPResponse:
        return self.send_request("POST", "/budgets/b", {"id": id_, "limit": limit})

    def test_commands_take_effect_once_for_each_id(self) -> None:
        self.harness.table.replies_to_lose = 1
        assert self.create().code == 201
        assert self.create().code == 201
        assert self.create("i2").code == 422
        for _ in range(2):
            top_up = {"id": "p1", "tokens": 50}
            assert self.send_request("POST", "/budgets/b/top-ups", top_up).code == 201
        assert self.fetch_json("GET", "/budgets/b")["limit"] == 150
        lowered = self.fetch_json("PUT", "/budgets/b/limit", {"id": "l1", "limit": 120})
        assert lowered["limit"] == 120
        raised = self.send_request(
            "PUT", "/budgets/b/limit", {"id": "l2", "limit": 999}
        )
        assert raised.code == 422
        assert [each["budget"] for each in self.fetch_json("GET", "/budgets")] == ["b"]

    def test_grant_of_a_terminated_instance_is_released(self) -> None:
        self.create()
        self.open_grant("gone")
        report = self.fetch_json("GET", "/budgets/b")
        assert report["grants"][0]["unattributed"]
        released = self.send_request(
            "POST", "/budgets/b/grants/g/release", {"id": "r1"}
        )
        assert json.loads(released.body)["remaining"] == 100

    def test_grant_of_a_live_instance_is_kept(self) -> None:
        self.create()
        self.open_grant("alive")
        released = self.send_request(
            "POST", "/budgets/b/grants/g/release", {"id": "r1"}
        )
        assert released.code == 422

    def open_grant(self, holder: str) -> None:
        table = self.harness.table.inner
        key = build_shard_key(compute_shard("b", SHARDS))
        row = decode_shard(table.read_now((key,))[0].value)
        state = row.budgets["b"].with_grant("g", holder, 30)
        put = Put(key, encode(row.with_budget("b", state)))
        table.commit_now(Transaction((), (put,)))

    def test_different_shard_count_is_refused(self) -> None:
        self.create()
        self.harness.backend.budgets._shards = SHARDS + 1  # type: ignore[attr-defined]
        response = self.send_request("POST", "/budgets/c", {"id": "i", "limit": 1})
        assert "laid out for 4" in json.loads(response.body)["error"]["message"]


class TestState(OperatorTestCase):
    def test_views(self) -> None:
        assert self.fetch_json("GET", "/revision")["peers"][0]["revision"] == 6
        assert self.fetch_json("GET", "/targets")[0]["state"] == "live"
        assert self.fetch_json("GET", "/explain/r1")[0]["reason"] == "budget_exhausted"
        assert self.send_request("GET", "/explain/r2").code == 404
        assert self.fetch_json("GET", "/claims/o")[0]["state"] == "held"
        assert self.send_request("GET", "/metrics").body == b"requests_total 1\n"

    def test_quarantine_is_released_once(self) -> None:
        assert self.fetch_json("GET", "/quarantine")[0]["fingerprint"] == "f1"
        assert self.send_request("DELETE", "/quarantine/f1").code == 200
        assert self.send_request("DELETE", "/quarantine/f1").code == 404
