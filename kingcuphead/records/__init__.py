"""Configuration records, decoded into one data model for all schema versions."""

from kingcuphead.records._codec import (
    SCHEMA,
    decode_record,
    encode_record,
    read_schema,
)
from kingcuphead.records._collection import build_configuration, list_records
from kingcuphead.records._consistency import check_configuration
from kingcuphead.records._faults import RecordFault
from kingcuphead.records._kinds import KINDS, RecordKind, RecordName, name_record
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
    "KINDS",
    "SCHEMA",
    "Budget",
    "BudgetPolicy",
    "Configuration",
    "Model",
    "Organisation",
    "Record",
    "RecordFault",
    "RecordKind",
    "RecordName",
    "Service",
    "ServiceKind",
    "Target",
    "WorkClass",
    "build_configuration",
    "check_configuration",
    "decode_record",
    "encode_record",
    "list_records",
    "name_record",
    "read_schema",
]
