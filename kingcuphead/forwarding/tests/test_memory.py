import contextlib

import pytest

from kingcuphead.forwarding import (
    MemoryAccount,
    OutOfMemoryError,
    get_account_limit,
)


def open_holdings(account, *sizes):
    holdings = [account.open(f"r{number}") for number in range(len(sizes))]
    for holding, size in zip(holdings, sizes, strict=True):
        holding.take_request_bytes(size)
    return holdings


class TestMemoryAccount:
    def test_answers_are_held_up_to_the_limit(self):
        account = MemoryAccount(limit=100)
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
        account = MemoryAccount(limit=100)
        (holding,) = open_holdings(account, 1_000)
        holding.release_request_bytes(1_000)
        assert account.used == 0

    @pytest.mark.parametrize(
        ("size", "ended"), [(10, []), (11, [1]), (39, [1]), (40, [2])]
    )
    def test_the_largest_requests_are_ended_first(self, size, ended):
        """A small request must not be ended while a larger one holds the memory."""
        account = MemoryAccount(100, covers_requests=True)
        holdings = open_holdings(account, 30, 50, 10)
        called = []
        for number, holding in enumerate(holdings):
            holding.on_end = lambda number=number: called.append(number)
        with contextlib.suppress(OutOfMemoryError):
            holdings[2].take(size)
        assert called == ended
        assert account.peak <= account.limit

    def test_a_request_that_holds_most_is_ended_itself(self):
        ends = []
        account = MemoryAccount(100, True, lambda: ends.append(1))
        small, large = open_holdings(account, 40, 50)
        with pytest.raises(OutOfMemoryError):
            large.take(20)
        assert (large.is_ended, small.is_ended, ends) == (True, False, [1])
        assert account.used == 40
        with pytest.raises(OutOfMemoryError):
            large.take(1)

    def test_bytes_are_given_back_once(self):
        """A write that is done after the end of its request gives nothing back."""
        account = MemoryAccount(100, covers_requests=True)
        first, second = open_holdings(account, 40, 50)
        first.close()
        first.release(40)
        second.end()
        second.release(50)
        assert account.used == 0

    def test_streams_are_held_back_from_half_of_the_limit_on(self):
        account = MemoryAccount(100, covers_requests=True)
        (holding,) = open_holdings(account, 49)
        assert not account.holds_back_streams
        holding.take(1)
        assert account.holds_back_streams

    def test_it_takes_up_a_third_of_the_memory(self):
        assert get_account_limit(160_000_000) == 53_333_333
