import asyncio
import random

import pytest
from expression import Ok
from tornado.httputil import HTTPHeaders

from kingcuphead.credit import CreditBook, CreditTask
from kingcuphead.dispatch import Dispatcher, DispatchSettings, RetryAllowance
from kingcuphead.forwarding import (
    AttemptRunner,
    CallerRequest,
    ConnectionPool,
    PromptSize,
    RequestPath,
    Surroundings,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.loads import LoadBoard
from kingcuphead.platform import PlatformHeaders
from kingcuphead.routing import (
    CallerLimits,
    Organisation,
    RequestKind,
    Route,
    RoutingConfiguration,
    RoutingTable,
    WeightedService,
)
from kingcuphead.storage import Committed
from kingcuphead.targets import TargetDirectory
from kingcuphead.verdict import Reason


class WillingTable:
    """A store in which every transaction succeeds."""

    def __init__(self):
        self.version = 0

    async def commit(self, transaction):
        self.version += 1
        return Committed(self.version)

    async def read_prefix(self, prefix):
        return Ok(())

    def estimate_time(self):
        return 1

    def bound_time(self, moment):
        return 1


class RecordingCaller:
    def __init__(self):
        self.status = 0
        self.headers = None
        self.body = b""
        self.end = ""

    async def start(self, status, headers):
        assert not self.status, "an answer starts once"
        self.status, self.headers = status, headers

    async def write(self, chunk):
        self.body += chunk

    def finish(self):
        self.end = "whole"

    def abort(self):
        self.end = "broken"


def make_route(kind, attempts=2, resumable=False, timeout=2.0, objective=0.2):
    return Route(
        name=kind.value,
        host="h",
        prefix=f"/{kind.value}/",
        kind=kind,
        services=(WeightedService("pool", 1),),
        timeout=timeout,
        objective=objective,
        longest_pause=0.1,
        rank=0,
        max_attempts=attempts,
        is_anonymous=False,
        is_resumable=resumable,
    )


def make_request(kind, size=None, request_id="r1", **changes):
    values = {
        "request_id": request_id,
        "method": "POST",
        "uri": f"/{kind.value}/x?y=1",
        "host": "h",
        "headers": HTTPHeaders({"Attempt-Id": request_id, "Host": "h"}),
        "body": b"body",
        "key": "k",
        "patience": None,
        "size": size,
        "resume_after": 0,
        "arrived_at": asyncio.get_running_loop().time(),
    }
    return CallerRequest(**{**values, **changes})


class Fleet:
    """A request path before two scripted targets."""

    def __init__(self, routes, prepaid=None):
        self.first, self.second = ScriptedTarget("t1"), ScriptedTarget("t2")
        self.routes = routes
        self.ended = []
        self.prepaid = prepaid

    async def __aenter__(self):
        self.directory = TargetDirectory()
        for target in (self.first, self.second):
            list(self.directory.put(await target.start()))
        self.pool = ConnectionPool()
        book = CreditBook("d1", "life-1")
        organisation = Organisation("atelier", None, self.prepaid)
        book.apply_limits([organisation], 1)
        self.book = book
        credit = CreditTask(book, WillingTable())
        self.renewal = asyncio.create_task(credit._renew())
        dispatcher = Dispatcher(DispatchSettings("z"), LoadBoard(), FirstFirst())
        self.path = RequestPath(
            Surroundings(
                self.directory,
                dispatcher,
                RetryAllowance(0.0, 10.0, 10.0),
                credit,
                AttemptRunner(self.pool, PlatformHeaders()),
            ),
            random.Random(1),
            lambda journey, refusal: self.ended.append((journey, refusal)),
        )
        self.path.apply(
            RoutingTable(
                RoutingConfiguration(
                    1,
                    tuple(self.routes),
                    {},
                    {"atelier": organisation},
                    {"k": "atelier"},
                    CallerLimits(),
                )
            )
        )
        return self

    async def __aexit__(self, *error):
        self.pool.close()
        self.first.stop()
        self.second.stop()

    async def serve(self, request):
        caller = RecordingCaller()
        refusal = await self.path.serve(request, caller)
        return caller, refusal


class FirstFirst(random.Random):
    """A source of chance that keeps the order of targets."""

    def sample(self, population, k, *, counts=None):
        return list(population)[:k]


def run(routes, play, prepaid=None):
    async def main():
        async with asyncio.timeout(20), Fleet(routes, prepaid) as fleet:
            await play(fleet)

    asyncio.run(main())


IDEMPOTENT = RequestKind.IDEMPOTENT
ONCE = RequestKind.AT_MOST_ONCE
STREAM = RequestKind.STREAM


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


class TestStreams:
    def events(self, numbers):
        return b"".join(f"id: {n}\ndata: x{n}\n\n".encode() for n in numbers)

    def test_a_stream_is_passed_on_whole(self):
        async def play(fleet):
            fleet.first.script = [fleet.first.stream([1, 2, 3])]
            caller, _ = await fleet.serve(make_request(STREAM))
            assert (caller.body, caller.end) == (self.events([1, 2, 3]), "whole")

        run([make_route(STREAM)], play)

    def test_a_broken_stream_goes_on_behind_its_last_whole_event(self):
        async def play(fleet):
            half = b"5\r\nid: 3\r\n"
            steps = [*fleet.first.stream([1, 2], is_whole=False), half]
            fleet.first.script = [[*steps, 0.05, ScriptedTarget.RESET]]
            fleet.second.script = [fleet.second.stream([3, 4])]
            caller, _ = await fleet.serve(make_request(STREAM))
            assert (caller.body, caller.end) == (self.events([1, 2, 3, 4]), "whole")
            assert fleet.second.received[0].get_header("Last-Event-Id") == "2"

        run([make_route(STREAM, resumable=True)], play)

    @pytest.mark.parametrize("numbers", [[1, 3], [1, 1], [2]])
    def test_events_out_of_order_are_never_passed_on(self, numbers):
        async def play(fleet):
            fleet.first.script = [fleet.first.stream(numbers)]
            caller, refusal = await fleet.serve(make_request(STREAM))
            assert caller.end == "broken" or refusal.status == 502
            assert caller.body in (b"", self.events([1]))

        run([make_route(STREAM)], play)

    def test_a_stream_that_may_not_be_resumed_ends_visibly_broken(self):
        async def play(fleet):
            steps = fleet.first.stream([1], is_whole=False)
            fleet.first.script = [[*steps, 0.05, ScriptedTarget.RESET]]
            caller, refusal = await fleet.serve(make_request(STREAM))
            assert (caller.end, refusal) == ("broken", None)
            assert not fleet.second.received

        run([make_route(STREAM)], play)


class TestMoney:
    SIZE = PromptSize(100, 50, ())

    def test_a_stream_costs_its_prompt_and_what_was_delivered(self):
        async def play(fleet):
            await fleet.renewal
            fleet.first.script = [fleet.first.stream([1, 2, 3])]
            await fleet.serve(make_request(STREAM, self.SIZE))
            state = fleet.book.describe("atelier", 0.0)
            assert state.held == 0
            assert fleet.book._accounts["atelier"].unreported == 103

        run([make_route(STREAM)], play, prepaid=100_000)

    def test_what_did_not_run_costs_nothing(self):
        async def play(fleet):
            await fleet.renewal
            fleet.first.stop()
            fleet.second.stop()
            _, refusal = await fleet.serve(make_request(STREAM, self.SIZE))
            assert refusal.status == 503
            assert fleet.book._accounts["atelier"].unreported == 0

        run([make_route(STREAM)], play, prepaid=100_000)

    def test_a_request_beyond_the_budget_is_not_sent(self):
        async def play(fleet):
            await fleet.renewal
            _, refusal = await fleet.serve(make_request(STREAM, self.SIZE))
            assert refusal.reason in (
                Reason.BUDGET_EXHAUSTED,
                Reason.CREDIT_UNAVAILABLE,
            )
            assert not fleet.first.received

        run([make_route(STREAM)], play, prepaid=149)
