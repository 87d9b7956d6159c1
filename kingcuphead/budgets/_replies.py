"""Answers about bills."""

import dataclasses
from collections import defaultdict
from collections.abc import Iterator

from kingcuphead.budgets._billbook import BillStatus
from kingcuphead.budgets._messages import SendToPeer
from kingcuphead.budgets._peer_messages import (
    BillsAccepted,
    BillsCommitted,
    BillsDuplicated,
)
from kingcuphead.budgets._routing import get_instance


@dataclasses.dataclass(slots=True)
class Replies:
    """Answers about bills, joined by addressee and status."""

    #: Bill ids by addressee and status.
    ids: dict[tuple[str, BillStatus], list[str]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )

    def add(self, addressee: str, status: BillStatus, bill_id: str) -> None:
        """Add one answer."""
        self.ids[addressee, status].append(bill_id)

    def build(self, sender: str) -> Iterator[SendToPeer]:
        """Yield the messages."""
        for (addressee, status), bill_ids in self.ids.items():
            ids = tuple(bill_ids)
            instance = get_instance(addressee)
            match status:
                case BillStatus.PENDING:
                    yield SendToPeer(instance, BillsAccepted(sender, ids))
                case BillStatus.COMMITTED:
                    yield SendToPeer(instance, BillsCommitted(sender, ids))
                case BillStatus.DUPLICATE:
                    yield SendToPeer(instance, BillsDuplicated(sender, ids))
