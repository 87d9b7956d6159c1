"""Conversion between records and a configuration."""

from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Any

from kingcuphead.records._kinds import KINDS, RecordKind, name_record
from kingcuphead.records._model import Configuration, Record

#: Name of the `Configuration` field that holds the records of a kind.
CONFIGURATION_FIELDS = {
    RecordKind.ORGANISATION: "organisations",
    RecordKind.BUDGET: "budgets",
    RecordKind.CLASS: "classes",
    RecordKind.MODEL: "models",
    RecordKind.SERVICE: "services",
    RecordKind.TARGET: "targets",
}


def build_configuration(revision: int, records: Iterable[Record]) -> Configuration:
    """Build the configuration that consists of the given records."""
    groups: dict[RecordKind, dict[str, Any]] = {kind: {} for kind in KINDS}
    for record in records:
        groups[name_record(record).kind][record.name] = record
    fields = {
        CONFIGURATION_FIELDS[kind]: MappingProxyType(group)
        for kind, group in groups.items()
    }
    return Configuration(revision=revision, **fields)


def list_records(configuration: Configuration) -> Iterator[Record]:
    """Yield every record of a configuration, grouped by kind."""
    for kind in KINDS:
        yield from getattr(configuration, CONFIGURATION_FIELDS[kind]).values()
