"""Rows of the table that hold the configuration, and their encoding."""

import dataclasses
import hashlib

import msgspec
from expression import Error, Ok, Result

from kingcuphead.records import (
    SCHEMA,
    Record,
    RecordFault,
    RecordName,
    decode_record,
    name_record,
)
from kingcuphead.storage import ABSENT, Row

HEAD_KEY = "head"
RECORD_PREFIX = "record/"
CHANGE_PREFIX = "change/"
APPLIED_PREFIX = "change-id/"
#: Digits of a revision in a key, so that key order is revision order.
REVISION_DIGITS = 12
#: Bytes of the fingerprint of a configuration.
FINGERPRINT_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The one row that says which revision is in force."""

    #: Revision; each accepted change raises it by one.
    revision: int = 0
    #: Id of the change that made this revision.
    change: str = ""
    #: Operator who made it.
    author: str = ""
    #: When it was accepted, in seconds of the Unix epoch.
    at: float = 0.0
    #: Highest schema version that every daemon of the fleet reads.
    schema: int = SCHEMA
    #: Fingerprint of the whole configuration, in hexadecimal.
    fingerprint: str = "0" * (2 * FINGERPRINT_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with the revision that wrote it."""

    #: Revision that wrote the record.
    revision: int
    #: The record as the operator wrote it.
    content: bytes
    #: The decoded record.
    record: Record

    @property
    def name(self) -> RecordName:
        """Unique name of the record."""
        return name_record(self.record)


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedChange:
    """One accepted change, complete enough to be applied without further reads."""

    #: The head row as the change wrote it.
    head: Head
    #: Records that it wrote.
    puts: tuple[StoredRecord, ...]
    #: Records that it removed.
    deletes: tuple[RecordName, ...]

    @property
    def names(self) -> tuple[RecordName, ...]:
        """Every record that the change touched."""
        return (*(stored.name for stored in self.puts), *self.deletes)


class _WrittenRecord(msgspec.Struct, frozen=True):
    revision: int
    record: msgspec.Raw


class _WrittenChange(msgspec.Struct, frozen=True):
    head: Head
    puts: tuple[msgspec.Raw, ...]
    deletes: tuple[RecordName, ...]


class _WrittenApplied(msgspec.Struct, frozen=True):
    revision: int


def make_record_key(name: RecordName) -> str:
    """Return the key of a record's row."""
    return f"{RECORD_PREFIX}{name.kind.value}/{name.name}"


def make_change_key(revision: int) -> str:
    """Return the key of the row of the change that made a revision."""
    return f"{CHANGE_PREFIX}{revision:0{REVISION_DIGITS}d}"


def make_applied_key(change: str) -> str:
    """Return the key of the row that marks a change id as accepted."""
    return f"{APPLIED_PREFIX}{change}"


def encode_head(head: Head) -> bytes:
    """Encode the head row."""
    return msgspec.json.encode(head)


def decode_head(row: Row | None) -> Head:
    """Decode the head row; an absent one is revision 0."""
    return Head() if row is None else msgspec.json.decode(row.value, type=Head)


def get_version(row: Row | None) -> int:
    """Return the version that a check on this row needs."""
    return ABSENT if row is None else row.version


def encode_stored(stored: StoredRecord) -> bytes:
    """Encode a record's row."""
    written = _WrittenRecord(stored.revision, msgspec.Raw(stored.content))
    return msgspec.json.encode(written)


def decode_stored(
    value: bytes, highest: int = SCHEMA
) -> Result[StoredRecord, RecordFault]:
    """Decode a record's row; `highest` is the highest schema version to accept."""
    written = msgspec.json.decode(value, type=_WrittenRecord)
    return _store(written.revision, bytes(written.record), highest)


def _store(
    revision: int, content: bytes, highest: int
) -> Result[StoredRecord, RecordFault]:
    return decode_record(content, highest).map(
        lambda record: StoredRecord(revision, content, record)
    )


def encode_change(change: AcceptedChange) -> bytes:
    """Encode a change's row."""
    puts = tuple(msgspec.Raw(stored.content) for stored in change.puts)
    return msgspec.json.encode(_WrittenChange(change.head, puts, change.deletes))


def decode_change(
    value: bytes, highest: int = SCHEMA
) -> Result[AcceptedChange, RecordFault]:
    """Decode a change's row; one unreadable record makes it unreadable as a whole."""
    written = msgspec.json.decode(value, type=_WrittenChange)
    puts = []
    for content in written.puts:
        match _store(written.head.revision, bytes(content), highest):
            case Result(tag="ok", ok=stored):
                puts.append(stored)
            case Result(error=fault):
                return Error(fault)
    return Ok(AcceptedChange(written.head, tuple(puts), written.deletes))


def encode_applied(revision: int) -> bytes:
    """Encode the row that marks a change id as accepted."""
    return msgspec.json.encode(_WrittenApplied(revision))


def decode_applied(row: Row) -> int:
    """Return the revision under which a change id was accepted."""
    return msgspec.json.decode(row.value, type=_WrittenApplied).revision


def fingerprint_record(name: RecordName, revision: int) -> int:
    """Return a record's part of the fingerprint; parts are joined by XOR."""
    text = f"{name.kind.value}/{name.name}@{revision}".encode()
    digest = hashlib.blake2b(text, digest_size=FINGERPRINT_BYTES).digest()
    return int.from_bytes(digest, "big")


def format_fingerprint(value: int) -> str:
    """Return the fingerprint as the head row holds it."""
    return f"{value:0{2 * FINGERPRINT_BYTES}x}"
