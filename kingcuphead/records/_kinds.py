"""Kinds and names of records."""

import dataclasses
import enum

from kingcuphead.records._model import (
    Budget,
    Model,
    Organisation,
    Record,
    Service,
    Target,
    WorkClass,
)


class RecordKind(enum.StrEnum):
    """Value of the `kind` field of a record."""

    ORGANISATION = "organisation"
    BUDGET = "budget"
    CLASS = "class"
    MODEL = "model"
    SERVICE = "service"
    TARGET = "target"


#: Every kind; `list_records` yields the records of the kinds in this order.
KINDS = tuple(RecordKind)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RecordName:
    """Identifier of a record, unique in a configuration."""

    #: Kind, which is the namespace of the name.
    kind: RecordKind
    #: Name, unique among the records of the kind.
    name: str


def name_record(record: Record) -> RecordName:
    """Return the identifier of a record."""
    return RecordName(_get_kind(record), record.name)


def _get_kind(record: Record) -> RecordKind:
    match record:
        case Organisation():
            return RecordKind.ORGANISATION
        case Budget():
            return RecordKind.BUDGET
        case WorkClass():
            return RecordKind.CLASS
        case Model():
            return RecordKind.MODEL
        case Service():
            return RecordKind.SERVICE
        case Target():
            return RecordKind.TARGET
