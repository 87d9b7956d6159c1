"""Credit that daemons allocate from the platform's store, within each budget."""

from kingcuphead.credit._ledger import CreditLedger
from kingcuphead.credit._messages import (
    CreditSettings,
    CreditState,
    Hold,
    HolderRow,
    ShardRow,
    Shortage,
)
from kingcuphead.credit._organisation_ledger import OrganisationLedger
from kingcuphead.credit._reclaim import Reclaim, find_reclaimable, plan_reclaim
from kingcuphead.credit._task import CreditRefused, CreditTask
from kingcuphead.credit._transfer import CreditAsked, CreditHanded, TransferEndpoint
from kingcuphead.credit._transfer_client import TransferClient

__all__ = [
    "CreditAsked",
    "CreditLedger",
    "CreditHanded",
    "CreditRefused",
    "CreditSettings",
    "CreditState",
    "CreditTask",
    "Hold",
    "HolderRow",
    "OrganisationLedger",
    "Reclaim",
    "ShardRow",
    "Shortage",
    "TransferClient",
    "TransferEndpoint",
    "find_reclaimable",
    "plan_reclaim",
]
