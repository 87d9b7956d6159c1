"""Encoding of the table rows that hold the configuration.

The table has one head row, one row per record, one row per accepted change and one
row per change id, which makes retries of a change idempotent.
"""

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
CHANGE_ID_PREFIX = "change-id/"
#: Digits of a zero-padded revision in a key; key order equals revision order.
REVISION_DIGITS = 12
#: Size of a configuration's fingerprint in bytes.
FINGERPRINT_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Content of the head row, which identifies the newest revision."""

    #: Revision; each accepted change increments it by one.
    revision: int = 0
    #: Id of the change that made this revision.
    change: str = ""
    #: Name of the operator who requested the change.
    author: str = ""
    #: `Change.at` of the change, in seconds since the Unix epoch.
    at: float = 0.0
    #: Highest schema version that every daemon of the fleet reads.
    schema: int = SCHEMA
    #: Fingerprint of all records, in hexadecimal.
    fingerprint: str = "0" * (2 * FINGERPRINT_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with the revision that last wrote it."""

    #: Revision of the change that last wrote the record.
    revision: int
    #: Encoded record, byte for byte as the operator submitted it.
    content: bytes
    #: Record decoded from `content`.
    record: Record

    @property
    def name(self) -> RecordName:
        """Kind and name of the record."""
        return name_record(self.record)


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedChange:
    """One accepted change, which can be applied without further reads."""

    #: Head row that the change wrote.
    head: Head
    #: Records that the change created or replaced.
    puts: tuple[StoredRecord, ...]
    #: Names of the records that the change deleted.
    deletes: tuple[RecordName, ...]

    @property
    def names(self) -> tuple[RecordName, ...]:
        """Names of the records that the change wrote or deleted."""
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


def make_change_id_key(change: str) -> str:
    """Return the key of the row that marks a change id as accepted."""
    return f"{CHANGE_ID_PREFIX}{change}"


def encode_head(head: Head) -> bytes:
    """Encode the head row."""
    return msgspec.json.encode(head)


def decode_head(row: Row | None) -> Head:
    """Decode the head row; an absent row stands for revision 0."""
    return Head() if row is None else msgspec.json.decode(row.value, type=Head)


def get_version(row: Row | None) -> int:
    """Return the version of a row for a `Check`, or `ABSENT`."""
    return ABSENT if row is None else row.version


def encode_stored(stored: StoredRecord) -> bytes:
    """Encode the row of a record."""
    row = _WrittenRecord(stored.revision, msgspec.Raw(stored.content))
    return msgspec.json.encode(row)


def decode_stored(
    value: bytes, max_schema: int = SCHEMA
) -> Result[StoredRecord, RecordFault]:
    """Decode the row of a record, up to the schema version `max_schema`."""
    try:
        parsed = msgspec.json.decode(value, type=_WrittenRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(RecordFault("row", "", str(error)))
    return _decode_stored_content(parsed.revision, bytes(parsed.record), max_schema)


def _decode_stored_content(
    revision: int, content: bytes, max_schema: int
) -> Result[StoredRecord, RecordFault]:
    return decode_record(content, max_schema).map(
        lambda record: StoredRecord(revision, content, record)
    )


def encode_change(change: AcceptedChange) -> bytes:
    """Encode the row of a change."""
    puts = tuple(msgspec.Raw(stored.content) for stored in change.puts)
    return msgspec.json.encode(_WrittenChange(change.head, puts, change.deletes))


def decode_change(
    value: bytes, max_schema: int = SCHEMA
) -> Result[AcceptedChange, RecordFault]:
    """Decode the row of a change; one invalid record makes the whole row invalid."""
    try:
        parsed = msgspec.json.decode(value, type=_WrittenChange)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(RecordFault("change", "", str(error)))
    puts = []
    for content in parsed.puts:
        match _decode_stored_content(parsed.head.revision, bytes(content), max_schema):
            case Result(tag="ok", ok=stored):
                puts.append(stored)
            case Result(error=fault):
                return Error(fault)
    return Ok(AcceptedChange(parsed.head, tuple(puts), parsed.deletes))


def encode_change_id_row(revision: int) -> bytes:
    """Encode the row that marks a change id as accepted."""
    return msgspec.json.encode(_WrittenApplied(revision))


def decode_change_id_row(row: Row) -> int:
    """Return the revision under which a change id was accepted."""
    return msgspec.json.decode(row.value, type=_WrittenApplied).revision


def fingerprint_record(name: RecordName, revision: int) -> int:
    """Return the hash of a record at a revision.

    The XOR of these hashes over all records is the fingerprint of a configuration, so
    that it can be updated with each change.
    """
    text = f"{name.kind.value}/{name.name}@{revision}".encode()
    digest = hashlib.blake2b(text, digest_size=FINGERPRINT_BYTES).digest()
    return int.from_bytes(digest, "big")


def format_fingerprint(value: int) -> str:
    """Format a fingerprint in hexadecimal, as in the head row."""
    return f"{value:0{2 * FINGERPRINT_BYTES}x}"
