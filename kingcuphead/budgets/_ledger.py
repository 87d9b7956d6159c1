"""One facade over the budget machines of a daemon."""

from collections import deque
from collections.abc import Iterable, Iterator

from kingcuphead.budgets._billbook import BillBook
from kingcuphead.budgets._borrower import Borrower
from kingcuphead.budgets._borrower_effects import BillMade
from kingcuphead.budgets._home import Home
from kingcuphead.budgets._lending import Lending
from kingcuphead.budgets._messages import (
    CommitFinished,
    Effect,
    HoldReleased,
    HoldRequested,
    HoldSettled,
    Input,
    Member,
    RowsRead,
    RowsScanned,
    SendToPeer,
    ShutdownFinished,
    ShutdownStarted,
    SurrenderReported,
    SurrenderStarted,
    Ticked,
    ViewChanged,
)
from kingcuphead.budgets._outbox import BillDropped, Outbox
from kingcuphead.budgets._peer_messages import (
    BillCopiesAcknowledged,
    BillCopiesDropped,
    BillsAccepted,
    BillsCommitted,
    BillsCopied,
    BillsDuplicated,
    BillsRejected,
    BillsSubmitted,
    CreditDenied,
    CreditLent,
    CreditRecalled,
    CreditRequested,
    CreditReturned,
    GrantRecalled,
    GrantYielded,
    Surrendered,
    SurrenderRequested,
)
from kingcuphead.budgets._routing import Routing, get_instance
from kingcuphead.budgets._rows import compute_shard
from kingcuphead.budgets._settings import Settings
from kingcuphead.budgets._store import Store
from kingcuphead.budgets._witness import Witness
from kingcuphead.invariants import ensure

#: Most effects of one input; more would mean that two machines answer each other
#: without end.
INNER_LIMIT = 100_000

InnerEffect = Effect | BillMade | BillDropped


class Ledger:
    """Holds, credit and bills of one daemon.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : str
        Text that differs in each start of the daemon; without "/".
    zone, region : str
        Where the instance is.
    settings : Settings
        Times and sizes.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        zone: str,
        region: str,
        settings: Settings,
    ) -> None:
        self.name = f"{instance}/{incarnation}"
        self.settings = settings
        self.routing = Routing(Member(instance, zone, region), settings)
        self.borrower = Borrower(self.name, settings, self.routing)
        self.outbox = Outbox(self.name, settings, self.routing)
        self.witness = Witness(self.name, settings, self.routing)
        self.homes: dict[int, Home] = {}
        self.surrenders: dict[tuple[str, str], set[str]] = {}
        self.closing = False
        self.finished = False

    def receive(self, message: Input, now: float) -> tuple[Effect, ...]:
        """Take one message and return what has to be done.

        Parameters
        ----------
        message : Input
            A message from a peer, the table or the daemon itself.
        now : float
            Monotonic time in seconds.

        Raises
        ------
        InvariantError
            A state that must be impossible was reached; the daemon must stop.
        """
        effects = tuple(self.settle_inner(self.dispatch(message, now), now))
        return effects + tuple(self.report_finish(now))

    def settle_inner(
        self, effects: Iterable[InnerEffect], now: float
    ) -> Iterator[Effect]:
        """Deliver messages between the own machines and yield the others."""
        queue = deque(effects)
        delivered = 0
        while queue:
            effect = queue.popleft()
            delivered += 1
            ensure(delivered <= INNER_LIMIT, "inner messages come to an end")
            match effect:
                case SendToPeer(instance=name, message=message) if (
                    name == self.routing.own.name
                ):
                    queue.extend(self.dispatch(message, now))
                case BillMade(hold_id=hold_id, bill=bill):
                    queue.extend(self.outbox.submit(hold_id, bill, now))
                case BillDropped(bill=bill):
                    queue.extend(self.borrower.refund(bill, now))
                case _:
                    yield effect

    def dispatch(self, message: Input, now: float) -> Iterator[InnerEffect]:
        """Hand a message to the machine that it is for."""
        match message:
            case CommitFinished() | RowsRead() | RowsScanned():
                yield from self.dispatch_answer(message, now)
            case SurrenderStarted() | SurrenderRequested() | Surrendered():
                yield from self.dispatch_surrender(message)
            case CreditLent() | CreditDenied() | CreditRecalled():
                yield from self.dispatch_credit(message, now)
            case (
                CreditRequested()
                | CreditReturned()
                | GrantRecalled()
                | GrantYielded()
                | BillsSubmitted()
            ):
                yield from self.dispatch_home(message, now)
            case (
                BillsAccepted()
                | BillsCommitted()
                | BillsDuplicated()
                | BillsRejected()
                | BillsCopied()
                | BillCopiesAcknowledged()
                | BillCopiesDropped()
            ):
                yield from self.dispatch_bills(message, now)
            case _:
                yield from self.dispatch_local(message, now)

    def dispatch_local(
        self,
        message: HoldRequested
        | HoldReleased
        | HoldSettled
        | Ticked
        | ViewChanged
        | ShutdownStarted,
        now: float,
    ) -> Iterator[InnerEffect]:
        """Hand on a message of the daemon itself."""
        match message:
            case HoldRequested():
                yield from self.borrower.request_hold(message, now)
            case HoldReleased():
                yield from self.borrower.release(message, now)
            case HoldSettled():
                yield from self.borrower.settle(message, now)
            case Ticked():
                yield from self.tick(now)
            case ViewChanged(members=members):
                self.routing.replace_members(members)
            case ShutdownStarted():
                yield from self.close(now)

    def dispatch_answer(
        self, message: CommitFinished | RowsRead | RowsScanned, now: float
    ) -> Iterator[InnerEffect]:
        """Hand an answer of the table to the home that asked."""
        home = self.open_home(message.token % self.settings.shards)
        match message:
            case CommitFinished():
                yield from home.receive_commit(message, now)
            case RowsRead():
                yield from home.receive_rows(message, now)
            case RowsScanned():
                yield from home.receive_pages(message, now)

    def dispatch_credit(
        self, message: CreditLent | CreditDenied | CreditRecalled, now: float
    ) -> Iterator[InnerEffect]:
        """Hand a home's message to the borrower."""
        match message:
            case CreditLent():
                yield from self.borrower.receive_loan(message, now)
            case CreditDenied():
                yield from self.borrower.receive_denial(message, now)
            case CreditRecalled():
                yield from self.borrower.recall(message, now)

    def dispatch_home(
        self,
        message: CreditRequested
        | CreditReturned
        | GrantRecalled
        | GrantYielded
        | BillsSubmitted,
        now: float,
    ) -> Iterator[InnerEffect]:
        """Hand a message to the home of its budget's shard."""
        match message:
            case BillsSubmitted(bills=bills):
                if bills:
                    home = self.find_home(bills[0].budget)
                    yield from home.submit_bills(message, now)
            case CreditRequested():
                yield from self.find_home(message.budget).request_credit(message, now)
            case CreditReturned():
                yield from self.find_home(message.budget).return_credit(message, now)
            case GrantRecalled():
                yield from self.find_home(message.budget).recall_grant(message, now)
            case GrantYielded():
                yield from self.find_home(message.budget).note_yield(message, now)

    def dispatch_bills(
        self,
        message: BillsAccepted
        | BillsCommitted
        | BillsDuplicated
        | BillsRejected
        | BillsCopied
        | BillCopiesAcknowledged
        | BillCopiesDropped,
        now: float,
    ) -> Iterator[InnerEffect]:
        """Hand an answer about bills to the outbox and the witness."""
        match message:
            case BillsAccepted():
                yield from self.outbox.note_accepted(message)
            case BillsCommitted():
                self.witness.forget(message.bill_ids)
                yield from self.outbox.note_committed(message)
            case BillsDuplicated():
                self.witness.forget(message.bill_ids)
                yield from self.outbox.note_duplicated(message)
            case BillsRejected():
                self.witness.forget(message.bill_ids)
                yield from self.outbox.note_rejected(message)
            case BillsCopied():
                yield from self.witness.keep(message, now)
            case BillCopiesAcknowledged():
                yield from self.outbox.note_copied(message)
            case BillCopiesDropped():
                self.witness.drop(message)

    def dispatch_surrender(
        self, message: SurrenderStarted | SurrenderRequested | Surrendered
    ) -> Iterator[InnerEffect]:
        """Collect surrenders of a grant, or take part in a collection."""
        match message:
            case SurrenderStarted(budget=budget, grant_id=grant_id):
                self.surrenders[budget, grant_id] = set()
                for name in self.routing.members:
                    request = SurrenderRequested(self.name, budget, grant_id)
                    yield SendToPeer(name, request)
            case SurrenderRequested(sender=sender, budget=budget, grant_id=grant_id):
                outstanding = self.surrender(budget, grant_id)
                answer = Surrendered(self.name, budget, grant_id, outstanding)
                yield SendToPeer(get_instance(sender), answer)
            case Surrendered():
                yield from self.collect_surrender(message)

    def collect_surrender(self, message: Surrendered) -> Iterator[SurrenderReported]:
        """Take note of a surrender and report those that are complete."""
        names = self.surrenders.get((message.budget, message.grant_id))
        if names is None:
            return
        if not message.outstanding:
            names.add(get_instance(message.sender))
        surrendered = tuple(sorted(names))
        yield SurrenderReported(message.budget, message.grant_id, surrendered)

    def surrender(self, budget: str, grant_id: str) -> int:
        """Give up credit on a grant; return the tokens that are still in use."""
        home = self.find_home(budget)
        return (
            self.borrower.surrender(budget, grant_id)
            + self.outbox.sum_outstanding(budget, grant_id)
            + self.witness.sum_outstanding(budget, grant_id)
            + home.sum_outstanding(budget, grant_id)
        )

    def tick(self, now: float) -> Iterator[InnerEffect]:
        """Let every machine act on the time."""
        yield from self.borrower.tick(now)
        yield from self.outbox.tick(now)
        yield from self.witness.tick(now)
        for home in list(self.homes.values()):
            yield from home.tick(now)

    def close(self, now: float) -> Iterator[InnerEffect]:
        """Start to give back credit and grants."""
        self.closing = True
        self.witness.closing = True
        yield from self.borrower.close(now)
        for home in list(self.homes.values()):
            yield from home.close(now)

    def report_finish(self, now: float) -> Iterator[ShutdownFinished]:
        """Report once that nothing is left here."""
        if not self.closing or self.finished:
            return
        empty = not (self.borrower.holds or self.outbox.entries or self.witness.copies)
        empty = empty and self.borrower.is_settled(now)
        if empty and all(home.is_finished() for home in self.homes.values()):
            self.finished = True
            yield ShutdownFinished()

    def find_home(self, budget: str) -> Home:
        """Return the own home machine for a budget."""
        return self.open_home(compute_shard(budget, self.settings.shards))

    def open_home(self, shard: int) -> Home:
        """Return the own home machine of a shard, a new one if there is none."""
        if shard not in self.homes:
            store = Store(shard, self.settings)
            book = BillBook(self.settings.dedupe_pages)
            lending = Lending(self.name, self.settings, self.routing, store)
            lending.closing = self.closing
            home = Home(self.name, self.settings, self.routing, store, book, lending)
            self.homes[shard] = home
        return self.homes[shard]
