import asyncio
import dataclasses

import pytest

from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    ONCE,
    STREAM,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget, Unaware
from kingcuphead.verdict import Reason


class TestTargetStates:
    """What a target says of itself in an answer holds for the next request."""

    def test_a_target_that_leaves_gets_nothing_new(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            first.script = [first.answer("200 OK", b"1", "Server-Leaving: 1")]
            second.script = [second.answer("200 OK", b"2")]
            caller, _ = await harness.serve(make_request(IDEMPOTENT))
            assert caller.body == b"1"
            caller, _ = await harness.serve(make_request(IDEMPOTENT, request_id="r2"))
            assert caller.body == b"2"
            assert len(first.received) == 1

        run([make_route(IDEMPOTENT)], scenario)

    def test_a_refusal_says_so_too(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            headers = ("Not-Executed: 1", "Server-Leaving: 1")
            first.script = [first.answer("503 Busy", b"", *headers)]
            second.script = [second.answer("200 OK", b"2")]
            caller, _ = await harness.serve(make_request(ONCE))
            assert caller.body == b"2"
            assert harness.directory.list_usable("pool")[0].name == "t2"

        run([make_route(ONCE)], scenario)

    def test_what_another_target_at_the_address_says_is_ignored(self):
        async def scenario(harness):
            first, second = harness.first, harness.second
            first.script = [first.answer("421 Gone", b"", "Server-Leaving: 1")]
            second.script = [second.answer("200 OK", b"2")]
            await harness.serve(make_request(IDEMPOTENT))
            assert not harness.directory.list_leaving()

        run([make_route(IDEMPOTENT)], scenario)

    def test_callers_learn_when_all_targets_have_room_again(self):
        async def scenario(harness):
            for target, seconds in ((harness.first, "5"), (harness.second, "2.5")):
                headers = ("Not-Executed: 1", f"Retry-After: {seconds}")
                target.script = [target.answer("503 Busy", b"", *headers)]
            _, refusal = await harness.serve(make_request(IDEMPOTENT))
            assert (refusal.status, refusal.reason) == (503, Reason.TARGETS_CLOSED)
            assert 2.0 < refusal.retry_after <= 2.5
            _, refusal = await harness.serve(make_request(IDEMPOTENT, request_id="r2"))
            assert 2.0 < refusal.retry_after <= 2.5
            assert len(harness.first.received) == len(harness.second.received) == 1

        run([make_route(IDEMPOTENT)], scenario)


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
    def test_unknown_routes_and_keys_are_refused(self, changes, status, reason):
        async def scenario(harness):
            _, refusal = await harness.serve(make_request(IDEMPOTENT, **changes))
            assert (refusal.status, refusal.reason) == (status, reason)
            assert not harness.first.received

        run([make_route(IDEMPOTENT)], scenario)

    @pytest.mark.parametrize(
        "changes",
        [{"host": "other"}, {"uri": "/nowhere/x"}, {"key": "new"}, {"key": ""}],
    )
    def test_what_a_later_version_may_have_is_not_refused_for_good(self, changes):
        """Guards against 404 and 401 for routes and keys that were just added."""

        async def scenario(harness):
            forwarder = harness.forwarder
            forwarder._dependencies = dataclasses.replace(
                forwarder._dependencies, is_configuration_current=lambda: False
            )
            _, refusal = await harness.serve(make_request(IDEMPOTENT, **changes))
            assert (refusal.status, refusal.reason) == (503, Reason.CONFIGURATION_STALE)
            assert refusal.retry_after
            assert not harness.first.received

        run([make_route(IDEMPOTENT)], scenario)

    def test_without_a_configuration_the_refusal_advises_a_retry(self):
        async def scenario(harness):
            harness.forwarder._table = None
            _, refusal = await harness.serve(make_request(IDEMPOTENT))
            assert refusal.status == 503
            assert refusal.retry_after

        run([make_route(IDEMPOTENT)], scenario)


class TestAnswers:
    def test_a_complete_answer_is_sent_to_the_caller_unchanged(self):
        async def scenario(harness):
            harness.first.script = [harness.first.answer("201 Created", b"abc", "X: 1")]
            caller, refusal = await harness.serve(make_request(IDEMPOTENT))
            assert refusal is None
            assert (caller.status, caller.body, caller.end) == (201, b"abc", "finished")
            assert caller.headers["X"] == "1"
            sent = harness.first.received[0]
            assert sent.head.startswith(b"POST /idempotent/x?y=1 HTTP/1.1")
            assert sent.body == b"body"
            assert sent.get_header("Tenant") == "atelier"
            assert sent.get_header("Expect-Instance") == "t1"

        run([make_route(IDEMPOTENT)], scenario)

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
                b"Content-Length: 1\r\n\r\nx",
                ScriptedTarget.CLOSE,
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
    def test_a_broken_answer_is_retried_only_for_idempotent_requests(self, fault, kind):
        async def scenario(harness):
            harness.first.script = [fault]
            harness.second.script = [harness.second.answer()]
            caller, refusal = await harness.serve(make_request(kind))
            if kind is IDEMPOTENT:
                assert (caller.status, caller.body) == (200, b"whole")
            else:
                assert refusal.status == 502
                assert not harness.second.received

        run([make_route(kind)], scenario)

    def test_bytes_after_an_answer_are_not_part_of_the_next_answer(self):
        async def scenario(harness):
            extra = harness.first.answer()[0] + b"HTTP/1.1 200 OK\r\n"
            harness.first.script = [[extra], harness.first.answer("200 OK", b"second")]
            await harness.serve(make_request(ONCE))
            caller, _ = await harness.serve(make_request(ONCE, request_id="r2"))
            assert caller.body == b"second"

        run([make_route(ONCE)], scenario)

    def test_a_request_that_a_target_did_not_run_is_retried_at_another(self):
        async def scenario(harness):
            refusal = harness.first.answer("503 Busy", b"", "Not-Executed: 1")
            harness.first.script = [refusal]
            harness.second.script = [harness.second.answer()]
            caller, _ = await harness.serve(make_request(ONCE))
            assert caller.status == 200

        run([make_route(ONCE)], scenario)

    def test_a_request_that_did_not_run_is_refused_with_retry_after(self):
        async def scenario(harness):
            refusal = harness.first.answer("503 Busy", b"", "Not-Executed: 1")
            harness.first.script = [refusal]
            _, refused = await harness.serve(make_request(ONCE))
            assert refused.status == 503
            assert refused.retry_after

        run([make_route(ONCE, attempts=1)], scenario)

    def test_a_target_whose_address_was_reassigned_is_not_used_again(self):
        async def scenario(harness):
            harness.first.script = [harness.first.answer("421 Misdirected", b"")]
            harness.second.script = [harness.second.answer(), harness.second.answer()]
            for request_id in ("r1", "r2"):
                request = make_request(ONCE, request_id=request_id)
                caller, _ = await harness.serve(request)
                assert caller.status == 200
            assert len(harness.first.received) == 1

        run([make_route(ONCE, attempts=1)], scenario)


class TestStatementsOfOtherAnswers:
    """Guards against believing what stands in the answer to another request."""

    @pytest.mark.parametrize("lines", [("Attempt-Id: r0",), ()])
    @pytest.mark.parametrize(
        ("status", "statement"),
        [
            ("421 Misdirected", "Server-Limit: 1"),
            ("503 Busy", "Server-Leaving: 1"),
            ("503 Busy", "Retry-After: 5"),
            ("503 Busy", "Server-Limit: 0"),
        ],
    )
    def test_the_target_is_used_as_before(self, lines, status, statement):
        async def scenario(harness):
            head = [f"HTTP/1.1 {status}", "Not-Executed: 1", statement, *lines]
            copy = "\r\n".join([*head, "Content-Length: 0", "", ""]).encode()
            harness.handle_leaving(harness.targets[1])
            steps = [copy, ScriptedTarget.CLOSE]
            harness.first.script = [steps, harness.first.answer()]
            _, refusal = await harness.serve(make_request(ONCE))
            assert refusal.status == 502
            caller, _ = await harness.serve(make_request(ONCE, request_id="r2"))
            assert caller.status == 200

        run([make_route(ONCE)], scenario)

    def test_the_answer_that_is_still_due_is_not_that_of_the_next_request(self):
        """The connection was used again after a complete answer to another request."""

        async def scenario(harness):
            copy = b"HTTP/1.1 503 Busy\r\nAttempt-Id: r0\r\nContent-Length: 0\r\n\r\n"
            harness.handle_leaving(harness.targets[1])
            late = harness.first.answer("200 OK", b"late")[0].replace(b"@id", b"r1")
            harness.first.script = [[copy, 0.1, late], harness.first.answer()]
            await harness.serve(make_request(ONCE))
            caller, _ = await harness.serve(make_request(ONCE, request_id="r2"))
            assert (caller.status, caller.body) == (200, b"whole")

        run([make_route(ONCE)], scenario)


class TestConnectionsAfterAnAnswerWithoutId:
    """Guards against a connection on which the own answer is still due."""

    def test_the_connection_is_closed(self):
        async def scenario(harness):
            harness.handle_leaving(harness.targets[1])
            copy = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            harness.first.script = [[copy, 0.1], harness.first.answer()]
            await harness.serve(make_request(ONCE))
            await harness.serve(make_request(ONCE, request_id="r2"))
            context, _ = harness.ended[-1]
            assert context.records[0].earlier_requests == 0

        run([make_route(ONCE)], scenario)


class TestSkippedAnswers:
    """Guards against giving up a request that can't be repeated while it runs."""

    def test_the_own_answer_may_take_until_the_deadline(self):
        async def scenario(harness):
            foreign = (
                b"HTTP/1.1 503 Busy\r\nAttempt-Id: r0\r\nContent-Length: 0\r\n\r\n"
            )
            harness.first.script = [[foreign, 0.3, *harness.first.answer()]]
            caller, _ = await harness.serve(make_request(ONCE))
            assert caller.status == 200

        # The first-byte timeout is 0.11 s.
        run([make_route(ONCE, objective=0.05)], scenario)


class TestRemainsOfOtherAnswers:
    """Guards against a head that joins a part of another answer with the own one.

    The id is that of the request then, and the status or the statement is not.
    """

    @pytest.mark.parametrize(
        "remains",
        [
            "HTTP/1.1 503 Busy\r\nNot-Executed: 1",
            "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 1",
            "HTTP/1.1 421 Misdir",
        ],
    )
    def test_the_request_is_not_sent_again(self, remains):
        async def scenario(harness):
            answer = harness.first.answer()
            harness.first.script = [answer, [remains.encode(), *answer]]
            harness.second.script = [harness.second.answer()]
            await harness.serve(make_request(ONCE))
            _, refusal = await harness.serve(make_request(ONCE, request_id="r2"))
            assert not harness.second.received
            assert refusal.status == 502

        run([make_route(ONCE)], scenario)

    def test_a_failure_is_not_passed_on_as_a_success(self):
        async def scenario(harness):
            failure = harness.first.answer("500 Error", b"failed")
            harness.first.script = [
                harness.first.answer(),
                [b"HTTP/1.1 200 O", *failure],
            ]
            await harness.serve(make_request(ONCE))
            caller, refusal = await harness.serve(make_request(ONCE, request_id="r2"))
            assert (caller.status, refusal.status) == (0, 502)

        run([make_route(ONCE)], scenario)


class TestSameIdOnOneConnection:
    """Guards against a refusal that is written again for a request with the same id.

    The id doesn't tell the answers of two attempts at one connection apart.
    """

    def test_a_target_that_took_over_the_address_of_another(self):
        async def scenario(harness):
            old, new = harness.targets
            new = dataclasses.replace(new, address=old.address, sequence=2)
            list(harness.directory.put(new))
            refusal = harness.first.answer("421 Misdirected", b"")
            harness.first.script = [
                [*refusal, Unaware(0.05), *refusal],
                harness.first.answer(),
            ]
            caller, _ = await harness.serve(make_request(ONCE))
            assert caller.status == 200

        run([make_route(ONCE)], scenario)

    def test_a_caller_that_sends_an_id_again(self):
        async def scenario(harness):
            harness.handle_leaving(harness.targets[1])
            refusal = harness.first.answer("503 Busy", b"", "Not-Executed: 1")
            harness.first.script = [
                [*refusal, Unaware(0.05), *refusal],
                harness.first.answer(),
            ]
            for _ in range(2):
                caller, refused = await harness.serve(make_request(ONCE))
            assert (caller.status, refused) == (200, None)

        run([make_route(ONCE)], scenario)


class TestContradictoryStatements:
    """Guards against "not run" being believed of a status that is no refusal.

    An order whose target answered so was sent to a second one.
    """

    @pytest.mark.parametrize(
        "status", ["200 OK", "204 No Content", "404 Not Found", "500 Error", "504 Late"]
    )
    def test_the_request_may_have_run(self, status):
        async def scenario(harness):
            body = b"" if status.startswith("204") else b"whole"
            harness.first.script = [
                harness.first.answer(status, body, "Not-Executed: 1")
            ]
            harness.second.script = [harness.second.answer()]
            _, refusal = await harness.serve(make_request(ONCE))
            assert not harness.second.received
            assert refusal.status == 502


class TestAnswersToOtherRequests:
    """Guards against failing a request whose own answer follows a foreign one."""

    FOREIGN = (
        b"HTTP/1.1 503 Busy\r\nAttempt-Id: r0\r\nNot-Executed: 1\r\n"
        b"Content-Length: 4\r\n\r\nbusy"
    )
    CHUNKED = (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nResponse-Seal: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"
    )

    @pytest.mark.parametrize("foreign", [FOREIGN, CHUNKED, 2 * FOREIGN])
    @pytest.mark.parametrize("sizes", [(10_000,), (40, 10_000), (1,) * 400])
    @pytest.mark.parametrize("kind", [ONCE, STREAM])
    def test_the_own_answer_that_follows_is_sent_on(self, kind, foreign, sizes):
        async def scenario(harness):
            first = harness.first
            own = first.stream([1, 2]) if kind is STREAM else first.answer()
            data = (foreign + b"".join(own)).replace(b"@id", b"r1")
            blocks = list(split(data, sizes))
            first.script = [[each for block in blocks for each in (block, 0.0005)]]
            caller, refusal = await harness.serve(make_request(kind))
            assert refusal is None
            assert (caller.status, caller.end) == (200, "finished")
            assert len(harness.first.received) == 1
            assert not harness.second.received

        run([make_route(kind)], scenario)

    def test_the_connection_is_not_used_again(self):
        async def scenario(harness):
            harness.handle_leaving(harness.targets[1])
            own = harness.first.answer()[0]
            harness.first.script = [[self.FOREIGN + own], harness.first.answer()]
            await harness.serve(make_request(ONCE))
            caller, _ = await harness.serve(make_request(ONCE, request_id="r2"))
            assert caller.status == 200
            context, _ = harness.ended[-1]
            assert context.records[0].earlier_requests == 0

        run([make_route(ONCE)], scenario)

    @pytest.mark.parametrize(
        "steps",
        [
            [FOREIGN, ScriptedTarget.CLOSE],
            [10 * FOREIGN, ScriptedTarget().answer()[0]],
            [FOREIGN[:-2], ScriptedTarget.CLOSE],
            [b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\n\r\nx", ScriptedTarget.CLOSE],
        ],
        ids=["closed", "too many", "broken off", "without length"],
    )
    def test_without_an_own_answer_the_request_may_have_run(self, steps):
        async def scenario(harness):
            harness.first.script = [steps]
            _, refusal = await harness.serve(make_request(ONCE))
            assert refusal.status == 502
            assert not harness.second.received

        run([make_route(ONCE)], scenario)


def split(data, sizes):
    """Yield blocks of the given sizes; the last one is the rest."""
    for size in sizes[:-1]:
        yield data[:size]
        data = data[size:]
    yield data


class TestTimeouts:
    def test_the_route_timeout_ends_the_request_and_cancels_the_attempt(self):
        async def scenario(harness):
            harness.first.script = [[5.0]]
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            _, refusal = await harness.serve(make_request(ONCE))
            assert refusal.status == 504
            assert loop.time() - started_at < 0.3 + 0.25
            await asyncio.wait_for(harness.first.is_cancelled.wait(), 0.5)

        run([make_route(ONCE, timeout=0.3)], scenario)

    def test_an_idempotent_request_is_retried_after_the_first_byte_timeout(self):
        async def scenario(harness):
            harness.first.script = [[5.0]]
            harness.second.script = [harness.second.answer()]
            caller, _ = await harness.serve(make_request(IDEMPOTENT))
            assert caller.status == 200

        run([make_route(IDEMPOTENT, objective=0.1)], scenario)

    def test_a_cancelled_request_closes_the_connection_to_the_target(self):
        async def scenario(harness):
            harness.first.script = [[5.0]]
            task = asyncio.create_task(harness.serve(make_request(IDEMPOTENT)))
            while not harness.first.received:
                await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.wait_for(harness.first.is_cancelled.wait(), 0.5)

        run([make_route(IDEMPOTENT, objective=1.0)], scenario)
