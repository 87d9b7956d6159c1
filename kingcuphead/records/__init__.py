"""Configuration records, decoded into one frozen form whatever their schema."""

from kingcuphead.records._model import (
    Budget,
    BudgetPolicy,
    Configuration,
    Model,
    Organisation,
    Record,
    Service,
    ServiceKind,
    Target,
    WorkClass,
)

__all__ = [
    "Budget",
    "BudgetPolicy",
    "Configuration",
    "Model",
    "Organisation",
    "Record",
    "Service",
    "ServiceKind",
    "Target",
    "WorkClass",
]
