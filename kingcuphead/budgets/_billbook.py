"""The bills that a home has seen: those in the table, and those that wait."""

import collections
import dataclasses
import enum
from collections.abc import Iterator

from kingcuphead.budgets._rows import Bill, BillPage


class BillStatus(enum.Enum):
    """What a home knows of a bill."""

    #: It waits to be committed.
    PENDING = enum.auto()
    #: It is in the table.
    COMMITTED = enum.auto()
    #: Another bill of the same request is in the table.
    DUPLICATE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class PendingBill:
    """A bill that waits to be committed."""

    #: The bill.
    bill: Bill
    #: Monotonic time in seconds at which it arrived.
    arrived_at: float
    #: Incarnations that submitted it.
    submitters: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """What makes two bills the bills of one request.

    Callers choose request ids, so those of two organisations may be equal.
    """

    #: Organisation that made the request.
    organisation: str
    #: Request id.
    request_id: str


@dataclasses.dataclass(slots=True)
class BillBook:
    """Recognises bills by request and by bill id.

    Attributes
    ----------
    window : int
        Number of pages whose requests are remembered.
    """

    window: int
    #: Ids of the committed bills by request.
    committed: dict[RequestKey, str] = dataclasses.field(default_factory=dict)
    #: Requests of each page in the window.
    pages: collections.deque[tuple[RequestKey, ...]] = dataclasses.field(
        default_factory=collections.deque
    )
    #: Waiting bills by bill id, the oldest first.
    pending: dict[str, PendingBill] = dataclasses.field(default_factory=dict)

    def get_status(self, bill: Bill) -> BillStatus:
        """Return what the pages in the window say of a bill."""
        match self.committed.get(make_request_key(bill)):
            case None:
                return BillStatus.PENDING
            case bill_id if bill_id == bill.bill_id:
                return BillStatus.COMMITTED
            case _:
                return BillStatus.DUPLICATE

    def add(self, bill: Bill, submitter: str, now: float) -> None:
        """Keep a bill until its fate is in the table."""
        known = self.pending.get(bill.bill_id)
        if known is None:
            self.pending[bill.bill_id] = PendingBill(bill, now, frozenset({submitter}))
            return
        submitters = known.submitters | {submitter}
        self.pending[bill.bill_id] = dataclasses.replace(known, submitters=submitters)

    def add_page(self, page: BillPage) -> None:
        """Remember the bills of the next page and forget the oldest page."""
        for bill in page.bills:
            self.committed[make_request_key(bill)] = bill.bill_id
        self.pages.append(tuple(map(make_request_key, page.bills)))
        while len(self.pages) > self.window:
            for key in self.pages.popleft():
                self.committed.pop(key, None)

    def take_resolved(self) -> Iterator[tuple[PendingBill, BillStatus]]:
        """Remove and yield the waiting bills whose fate is in the table."""
        for bill_id, pending in list(self.pending.items()):
            status = self.get_status(pending.bill)
            if status is not BillStatus.PENDING:
                del self.pending[bill_id]
                yield pending, status

    def iterate_candidates(self) -> Iterator[PendingBill]:
        """Yield the first waiting bill of each request."""
        seen: set[RequestKey] = set()
        for pending in self.pending.values():
            key = make_request_key(pending.bill)
            if key not in seen:
                seen.add(key)
                yield pending


def make_request_key(bill: Bill) -> RequestKey:
    """Return the key by which a request is billed once."""
    return RequestKey(bill.organisation, bill.request_id)
