"""Tests of the path of a chat request."""

import asyncio

import pytest

from kingcuphead.pipeline import _settlement
from kingcuphead.pipeline.tests._fakes import (
    BOUND,
    BROKEN,
    FIRST_EVENT,
    NOT_CONNECTED,
    Bench,
    FakeStream,
    make_whole,
)
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

MEASURED = "settle 7 1 True"
AT_BOUND = f"settle {BOUND} 0 False"


def serve(bench: Bench) -> Outcome[None]:
    async def run() -> Outcome[None]:
        outcome = await bench.serve()
        await bench.settlements.wait()
        return outcome

    return asyncio.run(run())


def take_settlements(bench: Bench) -> list[str]:
    return [entry for entry in bench.log if entry.startswith(("release", "settle"))]


def take_finishes(bench: Bench) -> list[str]:
    return [entry for entry in bench.log if entry.startswith("finish")]


class TestHold:
    @pytest.mark.parametrize(
        ("answers", "expected"),
        [
            ((make_whole(),), MEASURED),
            ((NOT_CONNECTED, NOT_CONNECTED), "release"),
            ((FakeStream((), status=503), NOT_CONNECTED), "release"),
            ((FakeStream((), status=400),), "release"),
            ((FakeStream((), BROKEN), NOT_CONNECTED), AT_BOUND),
            ((FakeStream((), BROKEN), FakeStream((), BROKEN)), AT_BOUND),
            ((FakeStream((FIRST_EVENT,), BROKEN),), MEASURED),
            ((FakeStream((), status=500), make_whole()), MEASURED),
        ],
    )
    def test_ends_exactly_once(
        self, answers: tuple[FakeStream | Verdict, ...], expected: str
    ) -> None:
        bench = Bench(*answers)
        serve(bench)
        assert take_settlements(bench) == [expected]

    def test_bill_that_is_not_safe_in_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_settlement, "BILL_TIMEOUT", 0.01)
        bench = Bench(make_whole(), settles=False)
        verdict = asyncio.run(bench.serve()).error
        assert verdict.reason is Reason.BILL_UNCERTAIN
        assert verdict.execution is Execution.MAY_HAVE_RUN
        assert b"[DONE]" not in bench.caller.content
        assert take_settlements(bench) == [MEASURED]


class TestPermit:
    def test_is_noted_before_the_first_byte(self) -> None:
        bench = Bench(make_whole())
        serve(bench)
        assert bench.log[:2] == ["start_dispatch", "open"]
        assert "cancel_dispatch" not in bench.log

    def test_is_returned_if_nothing_was_sent(self) -> None:
        bench = Bench(NOT_CONNECTED, make_whole())
        serve(bench)
        dispatches = [entry for entry in bench.log if entry.endswith("dispatch")]
        assert dispatches == ["start_dispatch", "cancel_dispatch", "start_dispatch"]

    def test_is_kept_if_the_request_may_have_run(self) -> None:
        bench = Bench(FakeStream((), BROKEN), key="k")
        serve(bench)
        assert "cancel_dispatch" not in bench.log


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
    def test_only_where_it_does_no_harm(
        self,
        first: FakeStream | Verdict,
        key: str | None,
        streamed: bool,
        attempts: int,
    ) -> None:
        bench = Bench(first, make_whole(), key=key, streamed=streamed)
        outcome = serve(bench)
        assert bench.log.count("open") == attempts
        assert outcome.is_ok() == (attempts == 2)

    def test_avoids_the_target_that_failed(self) -> None:
        bench = Bench(FakeStream((), BROKEN), make_whole())
        serve(bench)
        retry = bench.targets.arrivals[1]
        assert retry.excluded == ("target-0",)
        assert retry.execution is Execution.MAY_HAVE_RUN

    def test_repeats_no_part_of_a_failed_attempt(self) -> None:
        bench = Bench(FakeStream((FIRST_EVENT,), BROKEN), make_whole(), streamed=False)
        serve(bench)
        assert b'"content":"a"' in bench.caller.content


class TestSlot:
    @pytest.mark.parametrize(
        ("answers", "expected"),
        [
            ((make_whole(),), ["finish target-0 whole"]),
            (
                (NOT_CONNECTED, make_whole()),
                ["finish target-0 unreachable", "finish target-1 whole"],
            ),
            (
                (FakeStream((), status=503), FakeStream((), BROKEN)),
                ["finish target-0 refused", "finish target-1 died"],
            ),
        ],
    )
    def test_is_finished_once(
        self, answers: tuple[FakeStream | Verdict, ...], expected: list[str]
    ) -> None:
        bench = Bench(*answers)
        serve(bench)
        assert take_finishes(bench) == expected

    @pytest.mark.parametrize(
        ("blocks", "bill"), [((), AT_BOUND), ((FIRST_EVENT,), MEASURED)]
    )
    def test_is_finished_when_the_caller_hangs_up(
        self, blocks: tuple[bytes, ...], bill: str
    ) -> None:
        stream = FakeStream(blocks, hangs=True)
        bench = Bench(stream)

        async def hang_up() -> None:
            task = asyncio.create_task(bench.serve())
            await asyncio.sleep(0.02)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            await bench.settlements.wait()

        asyncio.run(hang_up())
        assert take_finishes(bench) == ["finish target-0 cancelled"]
        assert take_settlements(bench) == [bill]
        assert stream.closed
