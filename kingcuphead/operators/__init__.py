"""HTTP API for operators: configuration, budgets and state of a daemon."""

from kingcuphead.operators._application import make_operator_application
from kingcuphead.operators._backends import (
    BudgetBackend,
    OperatorBackend,
    RecordBackend,
    StateBackend,
)
from kingcuphead.operators._budgets import SurrenderCollector, TableBudgets
from kingcuphead.operators._messages import (
    AcceptedView,
    ChangeView,
    ClaimView,
    Explanation,
    FaultKind,
    OperatorFault,
    PeerView,
    QuarantineView,
    ReadyView,
    RecordView,
    RevisionView,
    TargetView,
)
from kingcuphead.operators._records import TableRecords

__all__ = [
    "AcceptedView",
    "BudgetBackend",
    "ChangeView",
    "ClaimView",
    "Explanation",
    "FaultKind",
    "OperatorBackend",
    "OperatorFault",
    "PeerView",
    "QuarantineView",
    "ReadyView",
    "RecordBackend",
    "RecordView",
    "RevisionView",
    "StateBackend",
    "SurrenderCollector",
    "TableBudgets",
    "TableRecords",
    "TargetView",
    "make_operator_application",
]
