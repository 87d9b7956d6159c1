"""An immutable copy of the whole configuration with its revisions."""

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
    """Head row and every record.

    A snapshot that was put together from several reads is whole only if
    `is_whole` says so.
    """

    #: The head row.
    head: Head = Head()
    #: Version of the head row, for a check.
    version: int = ABSENT
    #: Every record by name.
    records: Mapping[RecordName, StoredRecord] = dataclasses.field(default_factory=dict)
    #: Revision of the change that removed a record, as far as it was followed.
    removals: Mapping[RecordName, int] = dataclasses.field(default_factory=dict)
    #: Fingerprint of the records, kept up to date with each change.
    fingerprint: int = 0

    @property
    def revision(self) -> int:
        """Revision of the head row."""
        return self.head.revision

    @property
    def is_whole(self) -> bool:
        """Whether the records are exactly those of the head row."""
        return self.format_fingerprint() == self.head.fingerprint

    @cached_property
    def configuration(self) -> Configuration:
        """The records as the daemon uses them."""
        records = (stored.record for stored in self.records.values())
        return build_configuration(self.revision, records)

    def format_fingerprint(self) -> str:
        """Return the fingerprint as the head row holds it."""
        return format_fingerprint(self.fingerprint)

    def get_revision(self, name: RecordName) -> int:
        """Return the revision that wrote a record, or `ABSENT`."""
        stored = self.records.get(name)
        return ABSENT if stored is None else stored.revision

    def with_records(self, added: Iterable[StoredRecord]) -> "Snapshot":
        """Return a copy with more records."""
        return self._edit({stored.name: stored for stored in added}, ())

    def with_change(self, change: AcceptedChange) -> "Snapshot":
        """Return the snapshot after a change; the head's version is not known yet."""
        puts = {stored.name: stored for stored in change.puts}
        removed = dict.fromkeys(change.deletes, change.head.revision)
        return dataclasses.replace(
            self._edit(puts, change.deletes),
            head=change.head,
            version=ABSENT,
            removals={**self.removals, **removed},
        )

    def _edit(
        self,
        puts: Mapping[RecordName, StoredRecord],
        deletes: Iterable[RecordName],
    ) -> "Snapshot":
        records = dict(self.records)
        fingerprint = self.fingerprint
        for name in (*deletes, *puts):
            old = records.pop(name, None)
            if old is not None:
                fingerprint ^= fingerprint_record(name, old.revision)
        for name, stored in puts.items():
            records[name] = stored
            fingerprint ^= fingerprint_record(name, stored.revision)
        return dataclasses.replace(self, records=records, fingerprint=fingerprint)

    def with_version(self, version: int) -> "Snapshot":
        """Return a copy with the version of the head row."""
        return dataclasses.replace(self, version=version)
