"""What each ending of a request costs: prompt and output once anything is delivered."""

import asyncio

import pytest

from kingcuphead.forwarding import PromptSize
from kingcuphead.forwarding.tests._harness import (
    IDEMPOTENT,
    ONCE,
    STREAM,
    RecordingCaller,
    make_request,
    make_route,
    run,
)
from kingcuphead.forwarding.tests._target import ScriptedTarget

PROMPT_TOKENS = 100
SIZE = PromptSize(PROMPT_TOKENS, 50, ())
LATER = 0.05
CLOSE, RESET = ScriptedTarget.CLOSE, ScriptedTarget.RESET
#: Maker of steps of a target.
TARGET = ScriptedTarget()
#: Events 1 and 2 of a stream without its end.
BEGUN = TARGET.stream([1, 2], is_complete=False)
HEAD = TARGET.stream([], is_complete=False)
NOT_RUN = TARGET.answer("503 Full", b"", "Not-Executed: 1")

#: Kind of the route, scripts of both targets, tokens charged.
ENDINGS = {
    "whole stream": (STREAM, [TARGET.stream([1, 2, 3])], [], PROMPT_TOKENS + 3),
    "whole answer": (IDEMPOTENT, [TARGET.answer()], [], PROMPT_TOKENS),
    "stream broken off": (STREAM, [[*BEGUN, LATER, RESET]], [], PROMPT_TOKENS + 2),
    "stream cut in an event": (
        STREAM,
        [[*BEGUN, b"5\r\nid: 3\r\n", LATER, CLOSE]],
        [],
        PROMPT_TOKENS + 2,
    ),
    "wrong bytes in a stream": (
        STREAM,
        [[*BEGUN, LATER, b"no chunk\r\n"]],
        [],
        PROMPT_TOKENS + 2,
    ),
    "answer lost": (STREAM, [[LATER, RESET]], [], 0),
    "answer lost, at most once": (ONCE, [[LATER, RESET]], [], 0),
    "answer lost after its head": (STREAM, [[*HEAD, LATER, RESET]], [], 0),
    "wrong bytes for an answer": (STREAM, [[b"no answer\r\n\r\n"]], [], 0),
    "error of the target": (STREAM, [TARGET.answer("500 Error")], [], 0),
    "no answer until the deadline": (STREAM, [[5.0]], [], 0),
    "not run": (STREAM, [NOT_RUN], [], 0),
    "second try after a lost answer": (
        STREAM,
        [[LATER, RESET]],
        [TARGET.stream([1, 2])],
        PROMPT_TOKENS + 2,
    ),
    "resumed after it broke off": (
        STREAM,
        [[*BEGUN, LATER, RESET]],
        [TARGET.stream([3, 4])],
        PROMPT_TOKENS + 4,
    ),
    "both answers lost": (STREAM, [[LATER, RESET]], [[LATER, RESET]], 0),
}


def get_spent(harness):
    account = harness.ledger.get_organisation("atelier").account
    assert account.held == 0
    return account.spent


class TestCharges:
    """Guards against bills above what callers got, which use up budgets early."""

    @pytest.mark.parametrize(
        ("kind", "first", "second", "charged"), ENDINGS.values(), ids=ENDINGS
    )
    def test_a_request_costs_what_was_delivered(self, kind, first, second, charged):
        async def scenario(harness):
            await asyncio.sleep(0.1)
            harness.first.script, harness.second.script = list(first), list(second)
            await harness.serve(make_request(kind, SIZE))
            assert get_spent(harness) == charged

        attempts = 2 if second else 1
        route = make_route(kind, attempts, resumable=bool(second), timeout=1.0)
        run([route], scenario, prepaid=100_000)

    @pytest.mark.parametrize(
        ("steps", "charged"),
        [([5.0], 0), ([*HEAD, 5.0], 0), ([*BEGUN, 5.0], PROMPT_TOKENS + 2)],
        ids=["before the answer", "before the first event", "after two events"],
    )
    def test_a_caller_that_leaves_pays_for_what_was_delivered(self, steps, charged):
        async def scenario(harness):
            await asyncio.sleep(0.1)
            harness.first.script = [steps]
            serving = asyncio.create_task(
                harness.forwarder.serve(make_request(STREAM, SIZE), RecordingCaller())
            )
            await asyncio.sleep(0.2)
            serving.cancel()
            await asyncio.wait([serving])
            assert get_spent(harness) == charged

        run([make_route(STREAM)], scenario, prepaid=100_000)

    def test_of_two_attempts_at_once_one_is_charged(self):
        async def scenario(harness):
            await asyncio.sleep(0.1)
            harness.first.script = [[*HEAD, 5.0]]
            harness.second.script = [TARGET.stream([1, 2])]
            await harness.serve(make_request(STREAM, SIZE))
            assert get_spent(harness) == PROMPT_TOKENS + 2

        run([make_route(STREAM, resumable=True)], scenario, prepaid=100_000)
