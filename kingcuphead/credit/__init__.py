"""Credit taken from the platform's store, so that no budget is exceeded."""

from kingcuphead.credit._book import CreditBook
from kingcuphead.credit._messages import (
    CreditSettings,
    CreditState,
    Hold,
    HolderRow,
    Shortage,
    TotalRow,
)
from kingcuphead.credit._reclaim import find_reclaimable, plan_reclaim
from kingcuphead.credit._task import CreditRefused, CreditTable, CreditTask

__all__ = [
    "CreditBook",
    "CreditRefused",
    "CreditSettings",
    "CreditState",
    "CreditTable",
    "CreditTask",
    "Hold",
    "HolderRow",
    "Shortage",
    "TotalRow",
    "find_reclaimable",
    "plan_reclaim",
]
