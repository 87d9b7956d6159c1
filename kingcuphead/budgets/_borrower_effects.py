"""What a borrower asks its surroundings to do."""

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
class BillMade:
    """A hold was settled; its bill has to be made safe and committed."""

    #: The hold.
    hold_id: str
    #: The bill.
    bill: Bill


BorrowerEffect: TypeAlias = (
    SendToPeer | HoldGranted | HoldRefused | FaultReported | BillMade
)
