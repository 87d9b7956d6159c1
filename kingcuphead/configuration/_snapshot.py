"""Immutable copy of the complete configuration with the revision of each record."""

import dataclasses
from collections.abc import Iterable, Mapping
from functools import cached_property

from kingcuphead.configuration._rows import (
    AcceptedChange,
    Head,
    StoredRecord,
    fingerprint_record,
    format_fingerprint,
)
from kingcuphead.records import Configuration, RecordName, build_configuration
from kingcuphead.storage import ABSENT


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Head row and all records.

    A snapshot assembled from several reads may mix revisions; `is_consistent` detects
    this.
    """

    #: Content of the head row.
    head: Head = Head()
    #: Version of the head row, for a `Check`.
    version: int = ABSENT
    #: Records by kind and name.
    records: Mapping[RecordName, StoredRecord] = dataclasses.field(default_factory=dict)
    #: Revision of the change that deleted a record, for each deletion that this
    #: snapshot replayed.
    removals: Mapping[RecordName, int] = dataclasses.field(default_factory=dict)
    #: Fingerprint of `records`, updated incrementally with each change.
    fingerprint: int = 0

    @property
    def revision(self) -> int:
        """Revision of the head row."""
        return self.head.revision

    @property
    def is_consistent(self) -> bool:
        """Whether the records match the fingerprint in the head row."""
        return self.format_fingerprint() == self.head.fingerprint

    @cached_property
    def configuration(self) -> Configuration:
        """Configuration that consists of the records."""
        records = (stored.record for stored in self.records.values())
        return build_configuration(self.revision, records)

    def format_fingerprint(self) -> str:
        """Format the fingerprint in hexadecimal, as in the head row."""
        return format_fingerprint(self.fingerprint)

    def get_revision(self, name: RecordName) -> int:
        """Return the revision that last wrote a record, or `ABSENT`."""
        stored = self.records.get(name)
        return ABSENT if stored is None else stored.revision

    def with_records(self, added: Iterable[StoredRecord]) -> "Snapshot":
        """Return a copy with the given records added."""
        return self._apply_edits({stored.name: stored for stored in added}, ())

    def with_change(self, change: AcceptedChange) -> "Snapshot":
        """Return the snapshot after a change, without the version of the head row."""
        puts = {stored.name: stored for stored in change.puts}
        removed = dict.fromkeys(change.deletes, change.head.revision)
        return dataclasses.replace(
            self._apply_edits(puts, change.deletes),
            head=change.head,
            version=ABSENT,
            removals={**self.removals, **removed},
        )

    def _apply_edits(
        self,
        puts: Mapping[RecordName, StoredRecord],
        deletes: Iterable[RecordName],
    ) -> "Snapshot":
        records = dict(self.records)
        fingerprint = self.fingerprint
        for name in (*deletes, *puts):
            replaced = records.pop(name, None)
            if replaced is not None:
                fingerprint ^= fingerprint_record(name, replaced.revision)
        for name, stored in puts.items():
            records[name] = stored
            fingerprint ^= fingerprint_record(name, stored.revision)
        return dataclasses.replace(self, records=records, fingerprint=fingerprint)

    def with_version(self, version: int) -> "Snapshot":
        """Return a copy with the version of the head row."""
        return dataclasses.replace(self, version=version)
