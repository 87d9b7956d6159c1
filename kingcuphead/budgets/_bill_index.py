"""Index of pending and committed bills by request, for deduplication."""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from kingcuphead.budgets._rows import Bill, BillPage


class BillStatus(enum.Enum):
    """Status of a bill according to the bill pages that a home has read."""

    #: No bill of the request is in the table.
    PENDING = enum.auto()
    #: The bill is in the table.
    COMMITTED = enum.auto()
    #: Another bill of the same request is in the table.
    DUPLICATE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class PendingBill:
    """A bill that a home has accepted and not committed yet."""

    #: The submitted bill.
    bill: Bill
    #: Monotonic time in seconds of the first submission.
    arrived_at: float
    #: Incarnations that submitted the bill and receive its outcome.
    submitters: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Deduplication key of bills.

    Callers choose request ids, so two organisations may use the same one.
    """

    #: Organisation that sent the request.
    organisation: str
    #: Request id, equal in all retries.
    request_id: str


@dataclasses.dataclass(slots=True)
class BillIndex:
    """Deduplicates bills by request and stores the pending ones.

    Attributes
    ----------
    window : int
        Number of recent pages whose requests are indexed.
    """

    window: int
    #: Id of the committed bill, by request.
    committed: dict[RequestKey, str] = dataclasses.field(default_factory=dict)
    #: Requests of each indexed page, oldest page first.
    pages: collections.deque[tuple[RequestKey, ...]] = dataclasses.field(
        default_factory=collections.deque
    )
    #: Pending bills by bill id, oldest first.
    pending: dict[str, PendingBill] = dataclasses.field(default_factory=dict)

    def get_status(self, bill: Bill) -> BillStatus:
        """Return the status of a bill according to the indexed pages."""
        match self.committed.get(make_request_key(bill)):
            case None:
                return BillStatus.PENDING
            case bill_id if bill_id == bill.bill_id:
                return BillStatus.COMMITTED
            case _:
                return BillStatus.DUPLICATE

    def add(self, bill: Bill, submitter: str, now: float) -> None:
        """Store a bill until a committed page resolves it, and record its submitter."""
        earlier = self.pending.get(bill.bill_id)
        if earlier is None:
            self.pending[bill.bill_id] = PendingBill(bill, now, frozenset({submitter}))
            return
        submitters = earlier.submitters | {submitter}
        self.pending[bill.bill_id] = dataclasses.replace(earlier, submitters=submitters)

    def add_page(self, page: BillPage) -> None:
        """Index the bills of the next page and remove pages beyond the window."""
        for bill in page.bills:
            self.committed[make_request_key(bill)] = bill.bill_id
        self.pages.append(tuple(map(make_request_key, page.bills)))
        while len(self.pages) > self.window:
            for key in self.pages.popleft():
                self.committed.pop(key, None)

    def remove_resolved(self) -> Iterator[tuple[PendingBill, BillStatus]]:
        """Remove and yield the pending bills that committed pages resolve."""
        for bill_id, pending in list(self.pending.items()):
            status = self.get_status(pending.bill)
            if status is not BillStatus.PENDING:
                del self.pending[bill_id]
                yield pending, status

    def iterate_candidates(self) -> Iterator[PendingBill]:
        """Yield the oldest pending bill of each request."""
        seen: set[RequestKey] = set()
        for pending in self.pending.values():
            key = make_request_key(pending.bill)
            if key not in seen:
                seen.add(key)
                yield pending


def make_request_key(bill: Bill) -> RequestKey:
    """Return the deduplication key of a bill."""
    return RequestKey(bill.organisation, bill.request_id)
