import asyncio
from typing import Any

import msgspec
import pytest
from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError
from tornado.testing import AsyncHTTPTestCase

from kingcuphead.standins import engine
from kingcuphead.standins._batch import Batch
from kingcuphead.standins._engine import CrashMode, Engine, EngineSettings
from kingcuphead.standins._engine_orders import Assignment, LoadModel, Order
from kingcuphead.standins._prefix_cache import PrefixCache
from kingcuphead.standins.chat import Message, digest_messages

SETTINGS = EngineSettings(
    name="e-1",
    models={"m": "1"},
    concurrency=1,
    token_interval=0.001,
    answer_tokens=5,
    crash_marker="CRASH",
    crash_mode=CrashMode.RESTART,
)


class EngineCase(AsyncHTTPTestCase):
    def get_app(self):
        self.engine = Engine(SETTINGS)
        return engine.make_application(self.engine)

    def post(self, path: str, **body: Any) -> HTTPResponse:
        return self.fetch(path, method="POST", body=msgspec.json.encode(body))

    def chat(self, text: str = "hello", **fields: Any) -> HTTPResponse:
        messages = [{"role": "user", "content": text}]
        body = {"model": "m", "messages": messages, **fields}
        return self.post("/v1/chat/completions", **body)

    def get_states(self) -> list[str]:
        return [record.state for record in self.engine.records.requests]


def read_events(response: HTTPResponse) -> list[str]:
    lines = response.body.decode().split("\n\n")
    return [line.removeprefix("data: ") for line in lines if line]


class TestAnswers(EngineCase):
    def test_answer_starts_with_the_digest_of_its_prompt(self):
        answer = msgspec.json.decode(self.chat("hello").body)
        content = answer["choices"][0]["message"]["content"]
        assert content.startswith(digest_messages([Message("user", "hello")]))
        assert answer["usage"]["completion_tokens"] == 5
        assert self.get_states() == ["finished"]

    def test_stream_ends_with_usage_and_the_terminal_event(self):
        options = {"include_usage": True, "continuous_usage_stats": True}
        response = self.chat(stream=True, max_tokens=3, stream_options=options)
        *chunks, done = read_events(response)
        decoded = [msgspec.json.decode(chunk) for chunk in chunks]
        assert done == "[DONE]"
        counts = [chunk["usage"]["completion_tokens"] for chunk in decoded]
        assert counts == [1, 2, 3, 3, 3]
        assert decoded[-2]["choices"][0]["finish_reason"] == "length"
        assert decoded[-1].get("choices") == []

    def test_unknown_model(self):
        assert self.chat(model="other").code == 404
        assert self.get_states() == ["refused"]


class TestFaults(EngineCase):
    def test_crash_fails_the_request_and_keeps_its_record(self):
        with pytest.raises(HTTPStreamClosedError):
            self.chat("CRASH")
        assert self.get_states() == ["crashed"]

    def test_break_after_closes_the_connection_in_mid_stream(self):
        self.post("/switches", break_after=2)
        with pytest.raises(HTTPStreamClosedError):
            self.chat(stream=True)
        assert self.engine.records.requests[0].tokens == 2

    def test_full_engine_refuses_when_refuse_when_full_is_set(self):
        self.post("/switches", refuse_when_full=True, stall_after=0)
        body = b'{"model": "m", "messages": []}'
        url = self.get_url("/v1/chat/completions")
        stalled = self.http_client.fetch(url, method="POST", body=body)
        self.io_loop.run_sync(lambda: asyncio.sleep(0.05))
        assert self.chat().code == 429
        self.post("/switches")
        self.io_loop.run_sync(lambda: stalled)
        assert self.get_states() == ["finished", "refused"]

    def test_caller_disconnect_cancels_the_request(self):
        self.post("/switches", stall_after=1)
        url = self.get_url("/v1/chat/completions")
        body = b'{"model": "m", "messages": [], "stream": true}'
        fetch = self.http_client.fetch
        with pytest.raises(HTTPTimeoutError):
            self.io_loop.run_sync(
                lambda: fetch(url, method="POST", body=body, request_timeout=0.1)
            )
        self.io_loop.run_sync(lambda: asyncio.sleep(0.05))
        assert self.get_states() == ["cancelled"]
        assert self.engine.batch.running == 0


class TestOrders(EngineCase):
    def test_stale_fencing_number_is_refused(self):
        load = {"type": "load_model", "model": "m", "version": "2"}
        assert self.post("/orders", fencing=2, command=load).code == 200
        assert self.post("/orders", fencing=1, command=load).code == 409

    def test_load_report_is_cached_for_the_load_lag(self):
        before = self.fetch("/load").body
        load = {"type": "load_model", "model": "new", "version": "1"}
        self.post("/orders", fencing=1, command=load)
        assert self.fetch("/load").body == before
        assert b'"new"' in self.fetch("/v1/models").body


class TestAssignment:
    def test_stale_order_is_applied_and_recorded_without_fencing_checks(self):
        assignment = Assignment({}, checks_fencing=False)
        assignment.apply(Order(2, LoadModel("m", "2")))
        applied = assignment.apply(Order(1, LoadModel("m", "1"))).ok
        assert applied.was_stale
        assert assignment.models == {"m": "1"}


class TestPrefixCache:
    def test_shared_prefix_shortens_prefill(self):
        cache = PrefixCache(capacity=8)
        assert cache.match_and_insert("a" * 128) == 0
        assert cache.match_and_insert("a" * 128 + "b" * 64) == 32

    def test_least_recently_used_blocks_are_evicted_first(self):
        cache = PrefixCache(capacity=1)
        cache.match_and_insert("a" * 64)
        cache.match_and_insert("b" * 64)
        assert cache.match_and_insert("a" * 64) == 0


class TestBatch:
    def test_slots_follow_priority_and_skip_cancelled_requests(self):
        assert asyncio.run(self.run_batch()) == ["first", "urgent", "late"]

    async def run_batch(self) -> list[str]:
        batch = Batch(concurrency=1)
        order: list[str] = []

        async def run(name: str, priority: int) -> None:
            async with batch.hold_slot(priority):
                order.append(name)
                await asyncio.sleep(0.01)

        tasks = [
            asyncio.ensure_future(run(name, priority))
            for name, priority in [
                ("first", 5),
                ("cancelled", 0),
                ("late", 2),
                ("urgent", 1),
            ]
        ]
        await asyncio.sleep(0)
        tasks[1].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert batch.running == 0
        return order


class TestCommandLine:
    @pytest.mark.parametrize(
        ("text", "models"),
        [("a,b", {"a": "1", "b": "1"}), ("a=2", {"a": "2"})],
    )
    def test_models(self, text, models):
        assert engine.parse_models(text) == models
