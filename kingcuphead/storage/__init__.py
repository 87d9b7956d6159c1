"""Clients of the platform's table, object store and instance list."""

from kingcuphead.storage._client import (
    HttpInstanceList,
    HttpObjectStore,
    HttpTable,
)
from kingcuphead.storage._exchange import (
    Exchange,
    NotSent,
    PlatformConnection,
    PlatformSettings,
    Replied,
    ReplyLost,
)
from kingcuphead.storage._kept_connection import KeptConnection
from kingcuphead.storage._memory import MemoryTable, TableCounts
from kingcuphead.storage._messages import (
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
    RowSnapshot,
    ScanPage,
    Transaction,
    Unavailable,
    Unknown,
    make_removal,
)
from kingcuphead.storage._pending_calls import PendingCall, PendingCalls
from kingcuphead.storage._protocols import InstanceList, ObjectStore, Table, TablePart

__all__ = [
    "ABSENT",
    "Check",
    "CommitOutcome",
    "Committed",
    "Conflict",
    "Delete",
    "ReplyLost",
    "Replied",
    "NotSent",
    "Exchange",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTable",
    "Instance",
    "InstanceList",
    "InstanceState",
    "KeptConnection",
    "MemoryTable",
    "ObjectStore",
    "PendingCall",
    "PendingCalls",
    "PlatformConnection",
    "PlatformFault",
    "PlatformSettings",
    "Put",
    "Row",
    "RowSnapshot",
    "ScanPage",
    "Table",
    "TableCounts",
    "TablePart",
    "Transaction",
    "Unavailable",
    "Unknown",
    "make_removal",
]
