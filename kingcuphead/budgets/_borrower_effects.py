"""Effects of the borrower state machine."""

import dataclasses
from typing import TypeAlias

from kingcuphead.budgets._messages import (
    FaultReported,
    HoldGranted,
    HoldRefused,
    SendToPeer,
)
from kingcuphead.budgets._rows import Bill


@dataclasses.dataclass(frozen=True, slots=True)
class BillCreated:
    """Passes the bill of a settled hold to the outbox, which submits it."""

    #: Id of the settled hold.
    hold_id: str
    #: New, uncommitted bill.
    bill: Bill


BorrowerEffect: TypeAlias = (
    SendToPeer | HoldGranted | HoldRefused | FaultReported | BillCreated
)
