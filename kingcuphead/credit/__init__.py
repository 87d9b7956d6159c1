"""Credit taken from the platform's store, so that no budget is exceeded."""

from kingcuphead.credit._book import CreditBook
from kingcuphead.credit._borrower import Borrower
from kingcuphead.credit._lending import CreditAsked, CreditHanded, Lending
from kingcuphead.credit._messages import (
    CreditSettings,
    CreditState,
    Hold,
    HolderRow,
    Shortage,
    TotalRow,
)
from kingcuphead.credit._reclaim import Reclaim, find_reclaimable, plan_reclaim
from kingcuphead.credit._task import CreditRefused, CreditTable, CreditTask

__all__ = [
    "Borrower",
    "CreditAsked",
    "CreditBook",
    "CreditHanded",
    "CreditRefused",
    "CreditSettings",
    "CreditState",
    "CreditTable",
    "CreditTask",
    "Hold",
    "HolderRow",
    "Lending",
    "Reclaim",
    "Shortage",
    "TotalRow",
    "find_reclaimable",
    "plan_reclaim",
]
