import asyncio

import pytest

from kingcuphead.forwarding.tests._fleet import (
    IDEMPOTENT,
    ONCE,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.verdict import Reason


class TestRouting:
    @pytest.mark.parametrize(
        ("changes", "status", "reason"),
        [
            ({"host": "other"}, 404, Reason.SERVICE_NOT_FOUND),
            ({"uri": "/nowhere/x"}, 404, Reason.SERVICE_NOT_FOUND),
            ({"key": "stolen"}, 401, Reason.UNAUTHENTICATED),
            ({"key": ""}, 401, Reason.UNAUTHENTICATED),
        ],
    )
    def test_what_the_configuration_does_not_allow_is_refused(
        self, changes, status, reason
    ):
        async def play(fleet):
            _, refusal = await fleet.serve(make_request(IDEMPOTENT, **changes))
            assert (refusal.status, refusal.reason) == (status, reason)
            assert not fleet.first.received

        run([make_route(IDEMPOTENT)], play)

    def test_a_daemon_without_configuration_asks_to_come_back(self):
        async def play(fleet):
            fleet.path._table = None
            _, refusal = await fleet.serve(make_request(IDEMPOTENT))
            assert refusal.status == 503
            assert refusal.retry_after

        run([make_route(IDEMPOTENT)], play)


class TestAnswers:
    def test_a_whole_answer_is_passed_on_unchanged(self):
        async def play(fleet):
            fleet.first.script = [fleet.first.answer("201 Created", b"abc", "X: 1")]
            caller, refusal = await fleet.serve(make_request(IDEMPOTENT))
            assert refusal is None
            assert (caller.status, caller.body, caller.end) == (201, b"abc", "whole")
            assert caller.headers["X"] == "1"
            sent = fleet.first.received[0]
            assert sent.head.startswith(b"POST /idempotent/x?y=1 HTTP/1.1")
            assert sent.body == b"body"
            assert sent.get_header("Tenant") == "atelier"
            assert sent.get_header("Expect-Instance") == "t1"

        run([make_route(IDEMPOTENT)], play)

    @pytest.mark.parametrize(
        "fault",
        [
            [ScriptedTarget.RESET],
            [b"no answer at all\r\n\r\n", ScriptedTarget.CLOSE],
            [
                b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n"
                b"Content-Length: 99\r\n\r\nhalf",
                ScriptedTarget.CLOSE,
            ],
            [
                b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\n"
                b"Content-Length: 1\r\n\r\nx"
            ],
            [b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nContent-Length: 1\r\n\r\nx"],
            [
                b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n"
                b"Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"
            ],
            [
                b"HTTP/1.1 200 OK\r\nAttempt-Id: @id\r\nResponse-Seal: s\r\n\r\nhal",
                0.05,
                ScriptedTarget.RESET,
            ],
        ],
    )
    @pytest.mark.parametrize("kind", [IDEMPOTENT, ONCE])
    def test_a_spoilt_answer_is_repeated_only_where_that_does_no_harm(
        self, fault, kind
    ):
        async def play(fleet):
            fleet.first.script = [fault]
            fleet.second.script = [fleet.second.answer()]
            caller, refusal = await fleet.serve(make_request(kind))
            if kind is IDEMPOTENT:
                assert (caller.status, caller.body) == (200, b"whole")
            else:
                assert refusal.status == 502
                assert not fleet.second.received

        run([make_route(kind)], play)

    def test_bytes_after_an_answer_do_not_reach_the_next_caller(self):
        async def play(fleet):
            extra = fleet.first.answer()[0] + b"HTTP/1.1 200 OK\r\n"
            fleet.first.script = [[extra], fleet.first.answer("200 OK", b"second")]
            await fleet.serve(make_request(ONCE))
            caller, _ = await fleet.serve(make_request(ONCE, request_id="r2"))
            assert caller.body == b"second"

        run([make_route(ONCE)], play)

    def test_a_refusal_that_says_not_run_goes_to_another_target(self):
        async def play(fleet):
            refusal = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
            fleet.first.script = [[refusal + b"\r\n"]]
            fleet.second.script = [fleet.second.answer()]
            caller, _ = await fleet.serve(make_request(ONCE))
            assert caller.status == 200

        run([make_route(ONCE)], play)

    def test_not_run_is_said_only_of_what_did_not_run(self):
        async def play(fleet):
            refusal = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
            fleet.first.script = [[refusal + b"\r\n"]]
            _, refused = await fleet.serve(make_request(ONCE))
            assert refused.status == 503
            assert refused.retry_after

        run([make_route(ONCE, attempts=1)], play)

    def test_an_address_that_another_target_has_is_left_at_once(self):
        async def play(fleet):
            wrong = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
            fleet.first.script = [[wrong]]
            fleet.second.script = [fleet.second.answer(), fleet.second.answer()]
            for request_id in ("r1", "r2"):
                request = make_request(ONCE, request_id=request_id)
                caller, _ = await fleet.serve(request)
                assert caller.status == 200
            assert len(fleet.first.received) == 1

        run([make_route(ONCE, attempts=1)], play)


class TestTimeouts:
    def test_the_final_answer_comes_at_the_routes_timeout(self):
        async def play(fleet):
            fleet.first.script = [[5.0]]
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            _, refusal = await fleet.serve(make_request(ONCE))
            assert refusal.status == 504
            assert loop.time() - started_at < 0.3 + 0.25
            await asyncio.wait_for(fleet.first.is_cancelled.wait(), 0.5)

        run([make_route(ONCE, timeout=0.3)], play)

    def test_a_silent_target_is_left_for_another_where_that_does_no_harm(self):
        async def play(fleet):
            fleet.first.script = [[5.0]]
            fleet.second.script = [fleet.second.answer()]
            caller, _ = await fleet.serve(make_request(IDEMPOTENT))
            assert caller.status == 200

        run([make_route(IDEMPOTENT, objective=0.1)], play)

    def test_a_caller_that_leaves_ends_the_work_of_the_target(self):
        async def play(fleet):
            fleet.first.script = [[5.0]]
            task = asyncio.create_task(fleet.serve(make_request(IDEMPOTENT)))
            while not fleet.first.received:
                await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.wait_for(fleet.first.is_cancelled.wait(), 0.5)

        run([make_route(IDEMPOTENT, objective=1.0)], play)
