"""Replies to submissions of bills."""

import dataclasses
from collections import defaultdict
from collections.abc import Iterator

from kingcuphead.budgets._bill_index import BillStatus
from kingcuphead.budgets._messages import SendToPeer
from kingcuphead.budgets._peer_messages import (
    BillsAccepted,
    BillsCommitted,
    BillsDuplicated,
)
from kingcuphead.budgets._routing import get_instance


@dataclasses.dataclass(slots=True)
class Replies:
    """Replies about bills, grouped by recipient and status."""

    #: Bill ids by recipient and status.
    ids: dict[tuple[str, BillStatus], list[str]] = dataclasses.field(
        default_factory=lambda: defaultdict(list)
    )

    def add(self, recipient: str, status: BillStatus, bill_id: str) -> None:
        """Add the reply about one bill."""
        self.ids[recipient, status].append(bill_id)

    def build(self, sender: str) -> Iterator[SendToPeer]:
        """Yield one message for each recipient and status."""
        for (recipient, status), bill_ids in self.ids.items():
            ids = tuple(bill_ids)
            instance = get_instance(recipient)
            match status:
                case BillStatus.PENDING:
                    yield SendToPeer(instance, BillsAccepted(sender, ids))
                case BillStatus.COMMITTED:
                    yield SendToPeer(instance, BillsCommitted(sender, ids))
                case BillStatus.DUPLICATE:
                    yield SendToPeer(instance, BillsDuplicated(sender, ids))
