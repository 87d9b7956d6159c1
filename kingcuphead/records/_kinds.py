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
    """Kind of a record, as written in its envelope."""

    ORGANISATION = "organisation"
    BUDGET = "budget"
    CLASS = "class"
    MODEL = "model"
    SERVICE = "service"
    TARGET = "target"


#: Every kind, in the order in which records may refer to each other.
KINDS = tuple(RecordKind)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RecordName:
    """Kind and name, unique in a configuration."""

    #: Kind of the record.
    kind: RecordKind
    #: Name, unique in its kind.
    name: str


def name_record(record: Record) -> RecordName:
    """Return the unique name of a record."""
    return RecordName(_find_kind(record), record.name)


def _find_kind(record: Record) -> RecordKind:
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
