import asyncio
import random

import pytest

from kingcuphead.credit import (
    Borrower,
    CreditAsked,
    CreditBook,
    CreditHanded,
    CreditSettings,
    Lending,
)
from kingcuphead.credit.tests._store import FaultyStore
from kingcuphead.routing import Organisation

NAME = "atelier"
LIMIT = 1_000_000


def make_lending(store, life, tokens):
    """Return a daemon's lending with some credit at hand."""
    book = CreditBook(life, life, CreditSettings(reserve_requests=30.0))
    book.apply_limits([Organisation(NAME, None, LIMIT)], 1)
    book.want(NAME, tokens)
    for _ in range(3):
        transaction = book.plan_transaction(store.now, store.time_ms)
        if transaction is not None:
            book.take_outcome(store.commit(transaction, is_cut=False), store.now)
    book.unwant(NAME, tokens)
    return book, Lending(book, life)


class TestLending:
    def setup_method(self):
        self.store = FaultyStore(random.Random(1))
        self.lender, self.lending = make_lending(self.store, "a/1", 20_000)
        self.borrower, self.borrowing = make_lending(self.store, "b/1", 0)

    def test_what_is_handed_over_can_be_spent_at_one_place_only(self):
        before = self.lender.get_free(NAME), self.borrower.get_free(NAME)
        handed = self.lending.answer(self.borrowing.ask(NAME, 15_000), 0.0)
        assert handed.tokens == 15_000
        assert self.lender.get_free(NAME) == before[0] - 15_000
        assert self.borrowing.take(handed)
        assert self.borrower.get_free(NAME) == before[1] + 15_000

    def test_an_answer_counts_once(self):
        handed = self.lending.answer(self.borrowing.ask(NAME, 500), 0.0)
        assert self.borrowing.take(handed)
        before = self.borrower.get_free(NAME)
        assert not self.borrowing.take(handed)
        assert self.borrower.get_free(NAME) == before

    def test_a_question_that_comes_twice_gets_the_same_answer(self):
        asked = self.borrowing.ask(NAME, 500)
        handed = self.lending.answer(asked, 0.0)
        before = self.lender.get_free(NAME)
        assert self.lending.answer(asked, 0.0) == handed
        assert self.lender.get_free(NAME) == before

    @pytest.mark.parametrize("receiver, number", [("b/0", 1), ("b/1", 99)])
    def test_an_answer_to_another_life_or_question_is_left(self, receiver, number):
        self.borrowing.ask(NAME, 500)
        before = self.borrower.get_free(NAME)
        assert not self.borrowing.take(CreditHanded(receiver, number, 500))
        assert self.borrower.get_free(NAME) == before

    def test_what_own_requests_wait_for_is_kept(self):
        self.lender.want(NAME, self.lender.get_free(NAME) - 100)
        assert self.lending.answer(self.borrowing.ask(NAME, 5_000), 0.0).tokens == 100

    def test_reserves_are_lent_only_as_they_are_released(self):
        transaction = self.lender.plan_transaction(0.0, self.store.time_ms)
        assert transaction is not None
        state = self.lender.describe(NAME, 0.0)
        self.lender.take_outcome(self.store.commit(transaction, is_cut=True), 0.0)
        settings = CreditSettings()
        begin = settings.release_delay + settings.clock_margin
        early = self.lending.answer(self.borrowing.ask(NAME, LIMIT), begin)
        assert early.tokens == state.free
        half = begin + settings.release_period / 2
        later = self.lending.answer(self.borrowing.ask(NAME, LIMIT), half)
        assert later.tokens == pytest.approx(state.reserve / 2, abs=1)
        end = begin + settings.release_period
        last = self.lending.answer(self.borrowing.ask(NAME, LIMIT), end)
        assert later.tokens + last.tokens == state.reserve

    def test_an_unknown_organisation_lends_nothing(self):
        assert self.lending.answer(CreditAsked("b/1", 1, "nobody", 5), 0.0).tokens == 0


class TestBorrower:
    def setup_method(self):
        store = FaultyStore(random.Random(1))
        self.book, self.lending = make_lending(store, "b/1", 0)
        self.lenders = {}
        for number in range(4):
            _, lending = make_lending(store, f"a{number}/1", 10_000)
            self.lenders[(f"10.0.0.{number}", 9000)] = lending
        self.silent = set()
        self.lost = 0
        self.questions = []
        self.borrower = Borrower(
            self.lending, self.send, lambda: tuple(self.lenders), random.Random(2)
        )

    def send(self, asked, peer):
        self.questions.append(peer)
        if peer in self.silent:
            return
        handed = self.lenders[peer].answer(asked, 0.0)
        if self.lost:
            self.lost -= 1
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(self.borrower.take, handed)

    def borrow(self, tokens):
        asyncio.run(self.borrower.borrow(NAME, tokens))

    def test_daemons_are_asked_until_there_is_enough(self):
        before = self.book.get_free(NAME)
        self.borrow(25_000)
        assert self.book.get_free(NAME) == before + 25_000
        assert len(self.questions) < len(self.lenders)

    def test_nothing_is_asked_where_nothing_is_missing(self):
        self.borrow(0)
        assert self.questions == []

    def test_a_lost_answer_is_asked_for_again(self):
        self.lost = 1
        before = self.book.get_free(NAME)
        self.borrow(5_000)
        assert self.book.get_free(NAME) == before + 5_000
        assert self.questions == [self.questions[0]] * 2

    def test_a_silent_daemon_is_passed_over_for_a_while(self):
        self.silent = set(list(self.lenders)[:3])

        async def run():
            await self.borrower.borrow(NAME, 100_000)
            self.questions.clear()
            await asyncio.sleep(0.25)
            await self.borrower.borrow(NAME, 100_000)

        asyncio.run(run())
        assert set(self.questions) == set(self.lenders) - self.silent

    def test_an_organisation_that_nobody_has_credit_for_is_not_asked_for_at_once(self):
        async def run():
            await self.borrower.borrow(NAME, LIMIT)
            self.questions.clear()
            await self.borrower.borrow(NAME, LIMIT)

        asyncio.run(run())
        assert self.questions == []
