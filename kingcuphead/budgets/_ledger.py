"""Facade over the budget state machines of a daemon."""

from collections import deque
from collections.abc import Iterable, Iterator

from kingcuphead.budgets._bill_index import BillIndex
from kingcuphead.budgets._borrower import Borrower
from kingcuphead.budgets._borrower_effects import BillCreated
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
from kingcuphead.budgets._replica_holder import ReplicaHolder
from kingcuphead.budgets._routing import Routing, get_instance
from kingcuphead.budgets._rows import compute_shard
from kingcuphead.budgets._settings import Settings
from kingcuphead.budgets._store import Store
from kingcuphead.invariants import ensure

#: Maximum number of effects of one input. More of them mean that two state machines
#: of the daemon reply to each other in an endless loop.
MAX_LOCAL_EFFECTS = 100_000

#: Effects, including those that one state machine of the daemon has for another.
LocalEffect = Effect | BillCreated | BillDropped


class Ledger:
    """Ledger of one daemon: holds, credit lines, grants and bills.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : str
        Identifier that differs for each start of the daemon; without "/".
    zone, region : str
        Availability zone and region of the instance.
    settings : Settings
        Durations, sizes and credit buffers.
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
        self.replica_holder = ReplicaHolder(self.name, settings, self.routing)
        self.homes: dict[int, Home] = {}
        self.surrenders: dict[tuple[str, str], set[str]] = {}
        self.closing = False
        self.finished = False

    def receive(self, message: Input, now: float) -> tuple[Effect, ...]:
        """Process one input and return its effects.

        Parameters
        ----------
        message : Input
            A message of a peer, a reply of the table or an input of the daemon itself.
        now : float
            Monotonic time in seconds.

        Raises
        ------
        InvariantError
            An invariant is violated; the daemon must stop.
        """
        effects = tuple(self.deliver_local_effects(self.dispatch(message, now), now))
        return effects + tuple(self.report_shutdown(now))

    def deliver_local_effects(
        self, effects: Iterable[LocalEffect], now: float
    ) -> Iterator[Effect]:
        """Deliver the effects between the own state machines and yield the others."""
        queue = deque(effects)
        delivered = 0
        while queue:
            effect = queue.popleft()
            delivered += 1
            ensure(
                delivered <= MAX_LOCAL_EFFECTS, "deliveries between state machines end"
            )
            match effect:
                case SendToPeer(instance=name, message=message) if (
                    name == self.routing.own.name
                ):
                    queue.extend(self.dispatch(message, now))
                case BillCreated(hold_id=hold_id, bill=bill):
                    queue.extend(self.outbox.submit(hold_id, bill, now))
                case BillDropped(bill=bill):
                    queue.extend(self.borrower.refund(bill, now))
                case _:
                    yield effect

    def dispatch(self, message: Input, now: float) -> Iterator[LocalEffect]:
        """Dispatch an input to the state machine that processes it."""
        match message:
            case CommitFinished() | RowsRead() | RowsScanned():
                yield from self.dispatch_store_reply(message, now)
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
    ) -> Iterator[LocalEffect]:
        """Dispatch an input of the daemon itself."""
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
                yield from self.start_shutdown(now)

    def dispatch_store_reply(
        self, message: CommitFinished | RowsRead | RowsScanned, now: float
    ) -> Iterator[LocalEffect]:
        """Dispatch a reply of the table to the home that made the request."""
        home = self.get_or_create_home(message.token % self.settings.shards)
        match message:
            case CommitFinished():
                yield from home.handle_commit(message, now)
            case RowsRead():
                yield from home.handle_rows(message, now)
            case RowsScanned():
                yield from home.handle_pages(message, now)

    def dispatch_credit(
        self, message: CreditLent | CreditDenied | CreditRecalled, now: float
    ) -> Iterator[LocalEffect]:
        """Dispatch a message of a home to the borrower."""
        match message:
            case CreditLent():
                yield from self.borrower.handle_loan(message, now)
            case CreditDenied():
                yield from self.borrower.handle_denial(message, now)
            case CreditRecalled():
                yield from self.borrower.handle_recall(message, now)

    def dispatch_home(
        self,
        message: CreditRequested
        | CreditReturned
        | GrantRecalled
        | GrantYielded
        | BillsSubmitted,
        now: float,
    ) -> Iterator[LocalEffect]:
        """Dispatch a message to the home of the shard of its budget."""
        match message:
            case BillsSubmitted(bills=bills):
                if bills:
                    home = self.get_home(bills[0].budget)
                    yield from home.handle_bills(message, now)
            case CreditRequested():
                yield from self.get_home(message.budget).handle_credit_request(
                    message, now
                )
            case CreditReturned():
                yield from self.get_home(message.budget).handle_credit_return(
                    message, now
                )
            case GrantRecalled():
                yield from self.get_home(message.budget).handle_grant_recall(
                    message, now
                )
            case GrantYielded():
                yield from self.get_home(message.budget).handle_grant_yield(
                    message, now
                )

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
    ) -> Iterator[LocalEffect]:
        """Dispatch a message about bills to the outbox and the replica holder."""
        match message:
            case BillsAccepted():
                yield from self.outbox.handle_accepted(message)
            case BillsCommitted():
                self.replica_holder.remove(message.bill_ids)
                yield from self.outbox.handle_committed(message)
            case BillsDuplicated():
                self.replica_holder.remove(message.bill_ids)
                yield from self.outbox.handle_duplicated(message)
            case BillsRejected():
                self.replica_holder.remove(message.bill_ids)
                yield from self.outbox.handle_rejected(message)
            case BillsCopied():
                yield from self.replica_holder.add_replicas(message, now)
            case BillCopiesAcknowledged():
                yield from self.outbox.handle_replicas_acknowledged(message)
            case BillCopiesDropped():
                self.replica_holder.handle_dropped(message)

    def dispatch_surrender(
        self, message: SurrenderStarted | SurrenderRequested | Surrendered
    ) -> Iterator[LocalEffect]:
        """Start or continue to collect surrenders, or surrender a grant."""
        match message:
            case SurrenderStarted(budget=budget, grant_id=grant_id):
                self.surrenders[budget, grant_id] = set()
                for name in self.routing.members:
                    request = SurrenderRequested(self.name, budget, grant_id)
                    yield SendToPeer(name, request)
            case SurrenderRequested(sender=sender, budget=budget, grant_id=grant_id):
                outstanding = self.surrender(budget, grant_id)
                reply = Surrendered(self.name, budget, grant_id, outstanding)
                yield SendToPeer(get_instance(sender), reply)
            case Surrendered():
                yield from self.collect_surrender(message)

    def collect_surrender(self, message: Surrendered) -> Iterator[SurrenderReported]:
        """Record a reply and report the instances whose surrender is complete."""
        names = self.surrenders.get((message.budget, message.grant_id))
        if names is None:
            return
        if not message.outstanding:
            names.add(get_instance(message.sender))
        surrendered = tuple(sorted(names))
        yield SurrenderReported(message.budget, message.grant_id, surrendered)

    def surrender(self, budget: str, grant_id: str) -> int:
        """Surrender a grant; return its tokens that are still in use on this daemon."""
        home = self.get_home(budget)
        return (
            self.borrower.surrender(budget, grant_id)
            + self.outbox.sum_outstanding(budget, grant_id)
            + self.replica_holder.sum_outstanding(budget, grant_id)
            + home.sum_outstanding(budget, grant_id)
        )

    def tick(self, now: float) -> Iterator[LocalEffect]:
        """Tick every state machine."""
        yield from self.borrower.tick(now)
        yield from self.outbox.tick(now)
        yield from self.replica_holder.tick(now)
        for home in list(self.homes.values()):
            yield from home.tick(now)

    def start_shutdown(self, now: float) -> Iterator[LocalEffect]:
        """Refuse new holds and start to return credit and grants."""
        self.closing = True
        self.replica_holder.closing = True
        yield from self.borrower.start_shutdown(now)
        for home in list(self.homes.values()):
            yield from home.start_shutdown(now)

    def report_shutdown(self, now: float) -> Iterator[ShutdownFinished]:
        """Report the end of the shutdown, once."""
        if not self.closing or self.finished:
            return
        is_empty = not (
            self.borrower.holds or self.outbox.entries or self.replica_holder.replicas
        )
        is_empty = is_empty and self.borrower.has_returned_credit(now)
        if is_empty and all(home.is_finished() for home in self.homes.values()):
            self.finished = True
            yield ShutdownFinished()

    def get_home(self, budget: str) -> Home:
        """Return the home state machine of a budget on this daemon."""
        return self.get_or_create_home(compute_shard(budget, self.settings.shards))

    def get_or_create_home(self, shard: int) -> Home:
        """Return the home state machine of a shard and create it if there is none."""
        if shard not in self.homes:
            store = Store(shard, self.settings)
            bill_index = BillIndex(self.settings.dedupe_pages)
            lending = Lending(self.name, self.settings, self.routing, store)
            lending.closing = self.closing
            home = Home(
                self.name, self.settings, self.routing, store, bill_index, lending
            )
            self.homes[shard] = home
        return self.homes[shard]
