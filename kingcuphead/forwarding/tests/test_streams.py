import pytest

from kingcuphead.forwarding import (
    PromptSize,
)
from kingcuphead.forwarding.tests._fleet import (
    STREAM,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget
from kingcuphead.verdict import Reason


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

    @pytest.mark.parametrize("status", ["500 Error", "200 OK"])
    def test_an_answer_that_is_no_stream_never_follows_events(self, status):
        """The second target answers a resumed stream with something else."""

        async def play(fleet):
            steps = fleet.first.stream([1, 2], is_whole=False)
            fleet.first.script = [[*steps, 0.05, ScriptedTarget.RESET]]
            fleet.second.script = [fleet.second.answer(status, b"sorry")]
            caller, refusal = await fleet.serve(make_request(STREAM))
            assert (caller.body, caller.end) == (self.events([1, 2]), "broken")
            assert refusal is None
            assert fleet.second.received

        run([make_route(STREAM, resumable=True)], play)


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
