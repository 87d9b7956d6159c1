"""Turn a collection of records into a configuration and back."""

from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Any

from kingcuphead.records._kinds import KINDS, RecordKind, name_record
from kingcuphead.records._model import Configuration, Record

#: Field of `Configuration` that holds the records of a kind.
FIELDS = {
    RecordKind.ORGANISATION: "organisations",
    RecordKind.BUDGET: "budgets",
    RecordKind.CLASS: "classes",
    RecordKind.MODEL: "models",
    RecordKind.SERVICE: "services",
    RecordKind.TARGET: "targets",
}


def build_configuration(revision: int, records: Iterable[Record]) -> Configuration:
    """Return the configuration that holds exactly these records."""
    groups: dict[RecordKind, dict[str, Any]] = {kind: {} for kind in KINDS}
    for record in records:
        groups[name_record(record).kind][record.name] = record
    fields = {FIELDS[kind]: MappingProxyType(group) for kind, group in groups.items()}
    return Configuration(revision=revision, **fields)


def list_records(configuration: Configuration) -> Iterator[Record]:
    """Yield every record of a configuration, kind by kind."""
    for kind in KINDS:
        yield from getattr(configuration, FIELDS[kind]).values()
