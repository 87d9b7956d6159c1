"""The platform's table, object store and instance list, as the daemon sees them."""

from kingcuphead.platform._messages import (
    ABSENT,
    Check,
    CommitOutcome,
    Committed,
    Conflict,
    Delete,
    Instance,
    InstanceState,
    PlatformFault,
    Put,
    Row,
    ScanPage,
    Transaction,
    Unavailable,
    Unknown,
)
from kingcuphead.platform._protocols import InstanceList, ObjectStore, Table

__all__ = [
    "ABSENT",
    "Check",
    "CommitOutcome",
    "Committed",
    "Conflict",
    "Delete",
    "Instance",
    "InstanceList",
    "InstanceState",
    "ObjectStore",
    "PlatformFault",
    "Put",
    "Row",
    "ScanPage",
    "Table",
    "Transaction",
    "Unavailable",
    "Unknown",
]
