import asyncio
import contextlib

import pytest

from kingcuphead.forwarding import (
    OutOfMemoryError,
    RequestMemory,
    get_account_limit,
)
from kingcuphead.forwarding.tests._harness import (
    ONCE,
    STREAM,
    RecordingCaller,
    make_request,
    make_route,
    run,
)
from kingcuphead.verdict import Reason


def open_reservations(account, *sizes):
    reservations = [account.open(f"r{number}") for number in range(len(sizes))]
    for reservation, size in zip(reservations, sizes, strict=True):
        reservation.take_request_bytes(size)
    return reservations


class TestMemoryAccount:
    def test_answers_are_held_up_to_the_limit(self):
        account = RequestMemory(limit=100)
        first, second = account.open(), account.open()
        first.take(60)
        with pytest.raises(OutOfMemoryError):
            second.take(41)
        assert not first.is_ended
        assert not second.is_ended
        second.take(40)
        first.close()
        second.close()
        assert (account.used, account.peak) == (0, 100)

    def test_bodies_and_events_count_only_where_the_account_covers_them(self):
        account = RequestMemory(limit=100)
        (reservation,) = open_reservations(account, 1_000)
        reservation.release_request_bytes(1_000)
        assert account.used == 0

    @pytest.mark.parametrize(
        ("size", "ended"), [(10, []), (11, [1]), (39, [1]), (40, [2])]
    )
    def test_the_largest_requests_are_ended_first(self, size, ended):
        """A small request must not be ended while a larger one holds the memory."""
        account = RequestMemory(100, covers_requests=True)
        reservations = open_reservations(account, 30, 50, 10)
        called = []
        for number, reservation in enumerate(reservations):
            reservation.on_end = lambda number=number: called.append(number)
        with contextlib.suppress(OutOfMemoryError):
            reservations[2].take(size)
        assert called == ended
        assert account.peak <= account.limit

    def test_a_request_that_holds_most_is_ended_itself(self):
        ends = []
        account = RequestMemory(100, True, lambda: ends.append(1))
        small, large = open_reservations(account, 40, 50)
        with pytest.raises(OutOfMemoryError):
            large.take(20)
        assert (large.is_ended, small.is_ended, ends) == (True, False, [1])
        assert account.used == 40
        with pytest.raises(OutOfMemoryError):
            large.take(1)

    def test_bytes_are_given_back_once(self):
        """A write that is done after the end of its request gives nothing back."""
        account = RequestMemory(100, covers_requests=True)
        first, second = open_reservations(account, 40, 50)
        first.close()
        first.release(40)
        second.end()
        second.release(50)
        assert account.used == 0

    def test_streams_are_held_back_from_half_of_the_limit_on(self):
        account = RequestMemory(100, covers_requests=True)
        (reservation,) = open_reservations(account, 49)
        assert not account.applies_backpressure
        reservation.take(1)
        assert account.applies_backpressure

    def test_it_takes_up_a_third_of_the_memory(self):
        assert get_account_limit(160_000_000) == 53_333_333


class TestEndedRequests:
    """Requests that are ended to make room for others."""

    @pytest.mark.parametrize(
        ("kind", "steps", "status"),
        [
            (ONCE, [0.5], 502),
            (STREAM, [0.5], 502),
            (STREAM, "events", None),
        ],
    )
    def test_one_that_may_have_run_is_not_refused_as_not_run(self, kind, steps, status):
        """Nor is an answer that has begun followed by a refusal."""

        async def scenario(harness):
            events = harness.first.stream([1], is_complete=False)
            harness.first.script = [[*events, 0.5] if steps == "events" else steps]
            caller = RecordingCaller(RequestMemory(100, covers_requests=True))
            asyncio.get_running_loop().call_later(0.1, caller.reservation.end)
            refusal = await harness.forwarder.serve(make_request(kind), caller)
            if status is None:
                assert (refusal, caller.end) == (None, "aborted")
            else:
                assert (refusal.status, refusal.reason) == (502, Reason.MEMORY_FULL)
            assert len(harness.first.received) == 1
            assert not harness.second.received
            async with asyncio.timeout(1):
                await harness.first.is_cancelled.wait()

        run([make_route(kind, resumable=True)], scenario)

    def test_one_that_was_ended_before_its_first_attempt_has_not_run(self):
        async def scenario(harness):
            caller = RecordingCaller(RequestMemory(100, covers_requests=True))
            caller.reservation.end()
            refusal = await harness.forwarder.serve(make_request(ONCE), caller)
            assert (refusal.status, refusal.reason) == (503, Reason.MEMORY_FULL)
            assert not harness.first.received

        run([make_route(ONCE)], scenario)

    def test_an_answer_larger_than_the_memory_is_refused_truthfully(self):
        async def scenario(harness):
            harness.first.script = [harness.first.answer("200 OK", b"x" * 1_000)]
            caller = RecordingCaller(RequestMemory(100, covers_requests=True))
            refusal = await harness.forwarder.serve(make_request(ONCE), caller)
            assert (refusal.status, refusal.reason) == (502, Reason.MEMORY_FULL)

        run([make_route(ONCE)], scenario)
