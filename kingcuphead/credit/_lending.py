"""Credit that daemons pass to each other when the store can't serve them.

What one daemon hands over leaves its credit before the answer is sent, and the other
takes each answer once: an answer that is lost leaves the tokens charged, and no token
can be spent twice.
"""

import dataclasses
from collections import OrderedDict

from kingcuphead.credit._book import CreditBook

#: Answers that are kept to be sent again, and questions that are kept open.
MAX_REMEMBERED = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class CreditAsked:
    """A daemon asks another for credit."""

    #: Identity of the life of the daemon that asks.
    sender: str
    #: Number of the question, never used again in that life.
    number: int
    #: Organisation that pays.
    organisation: str
    #: Tokens that are missing.
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CreditHanded:
    """The answer; the tokens now belong to the daemon that asked."""

    #: Identity of the life of the daemon that asked.
    receiver: str
    #: Number of the question.
    number: int
    #: Tokens handed over, often fewer than were asked for.
    tokens: int


class Lending:
    """Both sides of credit passed between daemons, without input or output.

    Parameters
    ----------
    book
        The credit of this daemon.
    life
        Identity of this life of the daemon, never used again.
    """

    def __init__(self, book: CreditBook, life: str) -> None:
        self._book = book
        self._life = life
        self._number = 0
        self._open: OrderedDict[int, str] = OrderedDict()
        self._answered: OrderedDict[tuple[str, int], CreditHanded] = OrderedDict()

    def ask(self, organisation: str, tokens: int) -> CreditAsked:
        """Return a question; it may be sent several times."""
        self._number += 1
        self._open[self._number] = organisation
        if len(self._open) > MAX_REMEMBERED:
            self._open.popitem(last=False)
        return CreditAsked(self._life, self._number, organisation, tokens)

    def answer(self, asked: CreditAsked, now: float) -> CreditHanded:
        """Hand over what is not needed here; the same again to the same question."""
        key = (asked.sender, asked.number)
        known = self._answered.get(key)
        if known is not None:
            return known
        tokens = self._book.lend(asked.organisation, asked.tokens, now)
        answer = CreditHanded(asked.sender, asked.number, tokens)
        self._answered[key] = answer
        if len(self._answered) > MAX_REMEMBERED:
            self._answered.popitem(last=False)
        return answer

    def take(self, handed: CreditHanded) -> bool:
        """Add what another daemon handed over; False if the answer counts no more."""
        if handed.receiver != self._life:
            return False
        organisation = self._open.pop(handed.number, None)
        if organisation is None:
            return False
        self._book.borrow(organisation, handed.tokens)
        return True
