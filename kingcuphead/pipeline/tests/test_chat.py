"""Tests of the hold, the attempts and the settlement of a chat request."""

import asyncio

import pytest

from kingcuphead.pipeline import _settlement
from kingcuphead.pipeline.tests._fakes import (
    BOUND,
    BROKEN,
    FIRST_EVENT,
    NOT_CONNECTED,
    ChatHarness,
    FakeStream,
    make_complete_stream,
)
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

MEASURED = "settle 7 1 True"
AT_BOUND = f"settle {BOUND} 0 False"


def serve(harness: ChatHarness) -> Outcome[None]:
    async def run() -> Outcome[None]:
        outcome = await harness.serve()
        await harness.settlements.wait()
        return outcome

    return asyncio.run(run())


def get_settlements(harness: ChatHarness) -> list[str]:
    return [entry for entry in harness.log if entry.startswith(("release", "settle"))]


def get_finishes(harness: ChatHarness) -> list[str]:
    return [entry for entry in harness.log if entry.startswith("finish")]


class TestHold:
    @pytest.mark.parametrize(
        ("responses", "expected"),
        [
            ((make_complete_stream(),), MEASURED),
            ((NOT_CONNECTED, NOT_CONNECTED), "release"),
            ((FakeStream((), status=503), NOT_CONNECTED), "release"),
            ((FakeStream((), status=400),), "release"),
            ((FakeStream((), BROKEN), NOT_CONNECTED), AT_BOUND),
            ((FakeStream((), BROKEN), FakeStream((), BROKEN)), AT_BOUND),
            ((FakeStream((FIRST_EVENT,), BROKEN),), MEASURED),
            ((FakeStream((), status=500), make_complete_stream()), MEASURED),
        ],
    )
    def test_ends_exactly_once(
        self, responses: tuple[FakeStream | Verdict, ...], expected: str
    ) -> None:
        harness = ChatHarness(*responses)
        serve(harness)
        assert get_settlements(harness) == [expected]

    def test_bill_that_is_not_durable_in_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_settlement, "BILL_TIMEOUT", 0.01)
        harness = ChatHarness(make_complete_stream(), settles=False)
        verdict = asyncio.run(harness.serve()).error
        assert verdict.reason is Reason.BILL_UNCERTAIN
        assert verdict.execution is Execution.MAY_HAVE_RUN
        assert b"[DONE]" not in harness.caller.content
        assert get_settlements(harness) == [MEASURED]


class TestPermit:
    def test_dispatch_is_recorded_before_the_first_byte(self) -> None:
        harness = ChatHarness(make_complete_stream())
        serve(harness)
        assert harness.log[:2] == ["start_dispatch", "open"]
        assert "cancel_dispatch" not in harness.log

    def test_dispatch_is_cancelled_if_nothing_was_sent(self) -> None:
        harness = ChatHarness(NOT_CONNECTED, make_complete_stream())
        serve(harness)
        dispatches = [entry for entry in harness.log if entry.endswith("dispatch")]
        assert dispatches == ["start_dispatch", "cancel_dispatch", "start_dispatch"]

    def test_dispatch_is_not_cancelled_if_the_request_may_have_run(self) -> None:
        harness = ChatHarness(FakeStream((), BROKEN), key="k")
        serve(harness)
        assert "cancel_dispatch" not in harness.log


class TestRetry:
    @pytest.mark.parametrize(
        ("first", "key", "streamed", "attempts"),
        [
            (NOT_CONNECTED, None, True, 2),
            (NOT_CONNECTED, "k", True, 2),
            (FakeStream((), BROKEN), None, True, 2),
            (FakeStream((), BROKEN), "k", True, 1),
            (FakeStream((FIRST_EVENT,), BROKEN), None, True, 1),
            (FakeStream((FIRST_EVENT,), BROKEN), None, False, 2),
            (FakeStream((FIRST_EVENT,), BROKEN), "k", False, 1),
            (FakeStream((), status=400), None, True, 1),
        ],
    )
    def test_retries_only_where_harmless(
        self,
        first: FakeStream | Verdict,
        key: str | None,
        streamed: bool,
        attempts: int,
    ) -> None:
        harness = ChatHarness(first, make_complete_stream(), key=key, streamed=streamed)
        outcome = serve(harness)
        assert harness.log.count("open") == attempts
        assert outcome.is_ok() == (attempts == 2)

    def test_excludes_the_failed_target(self) -> None:
        harness = ChatHarness(FakeStream((), BROKEN), make_complete_stream())
        serve(harness)
        retry = harness.targets.arrivals[1]
        assert retry.excluded == ("target-0",)
        assert retry.execution is Execution.MAY_HAVE_RUN

    def test_delivers_no_part_of_a_failed_attempt(self) -> None:
        harness = ChatHarness(
            FakeStream((FIRST_EVENT,), BROKEN), make_complete_stream(), streamed=False
        )
        serve(harness)
        assert b'"content":"a"' in harness.caller.content


class TestSlot:
    @pytest.mark.parametrize(
        ("responses", "expected"),
        [
            ((make_complete_stream(),), ["finish target-0 whole"]),
            (
                (NOT_CONNECTED, make_complete_stream()),
                ["finish target-0 unreachable", "finish target-1 whole"],
            ),
            (
                (FakeStream((), status=503), FakeStream((), BROKEN)),
                ["finish target-0 refused", "finish target-1 died"],
            ),
        ],
    )
    def test_is_released_exactly_once(
        self, responses: tuple[FakeStream | Verdict, ...], expected: list[str]
    ) -> None:
        harness = ChatHarness(*responses)
        serve(harness)
        assert get_finishes(harness) == expected

    @pytest.mark.parametrize(
        ("blocks", "bill"), [((), AT_BOUND), ((FIRST_EVENT,), MEASURED)]
    )
    def test_is_released_when_the_caller_disconnects(
        self, blocks: tuple[bytes, ...], bill: str
    ) -> None:
        stream = FakeStream(blocks, hangs=True)
        harness = ChatHarness(stream)

        async def disconnect() -> None:
            task = asyncio.create_task(harness.serve())
            await asyncio.sleep(0.02)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            await harness.settlements.wait()

        asyncio.run(disconnect())
        assert get_finishes(harness) == ["finish target-0 cancelled"]
        assert get_settlements(harness) == [bill]
        assert stream.closed
