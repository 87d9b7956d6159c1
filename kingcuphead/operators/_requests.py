"""Bodies that operators send, and their conversion to commands."""

import uuid
from typing import Annotated, TypeAlias

import msgspec
from expression import Error, Ok, Result

from kingcuphead.configuration import (
    Change,
    DeleteRecord,
    Edit,
    PutRecord,
    RaiseSchema,
)
from kingcuphead.operators._messages import FaultKind, OperatorFault
from kingcuphead.records import RecordName

Id = Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9._-]{1,64}\Z")]
#: Longest name of an operator in characters.
MAX_AUTHOR_LENGTH = 128
Author = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_AUTHOR_LENGTH)]
Tokens = Annotated[int, msgspec.Meta(ge=1, le=10**15)]


class Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the bodies."""


class PutBody(Body, frozen=True, tag="put"):
    """Write one record."""

    #: The record.
    record: msgspec.Raw
    #: Revision of the record that was read; 0 for a new one.
    expected: int


class DeleteBody(Body, frozen=True, tag="delete"):
    """Remove one record."""

    #: Kind and name.
    record: RecordName
    #: Revision of the record that was read.
    expected: int


class RaiseSchemaBody(Body, frozen=True, tag="raise_schema"):
    """Accept records up to a schema version."""

    #: The schema version.
    schema: int


EditBody: TypeAlias = PutBody | DeleteBody | RaiseSchemaBody


class ChangeBody(Body, frozen=True):
    """Several edits that take effect together."""

    #: Unique id.
    id: Id
    #: Operator.
    author: Author
    #: The edits.
    edits: tuple[EditBody, ...]
    #: Whether the change was sent before under this id.
    repeated: bool = False

    def make_change(self, now: float) -> Change:
        """Return the change; `now` is in seconds of the Unix epoch."""
        edits = tuple(_make_edit(edit) for edit in self.edits)
        return Change(self.id, self.author, now, edits, self.repeated)


class LimitBody(Body, frozen=True):
    """A budget's limit."""

    #: Unique id.
    id: Id
    #: Tokens.
    limit: Annotated[int, msgspec.Meta(ge=0, le=10**15)]


class TopUpBody(Body, frozen=True):
    """A payment into a budget."""

    #: Unique id.
    id: Id
    #: Tokens to add.
    tokens: Tokens


class ReleaseBody(Body, frozen=True):
    """Release of a dead instance's grant."""

    #: Unique id.
    id: Id


def decode_body(
    content: bytes, form: type[msgspec.Struct]
) -> Result[msgspec.Struct, OperatorFault]:
    """Decode a body, or say what is wrong with it."""
    try:
        return Ok(msgspec.json.decode(content, type=form))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(OperatorFault(FaultKind.INVALID, f"body: {error}"))


def parse_id(written: str) -> Result[str, OperatorFault]:
    """Return an id from a header, which becomes part of a key."""
    try:
        return Ok(msgspec.convert(written, Id))
    except msgspec.ValidationError:
        message = "Change-Id: 1 to 64 letters, digits, '.', '_' or '-'"
        return Error(OperatorFault(FaultKind.INVALID, message))


def make_id() -> str:
    """Return a new unique id for a command."""
    return uuid.uuid4().hex


def _make_edit(body: EditBody) -> Edit:
    match body:
        case PutBody(record=record, expected=expected):
            return PutRecord(bytes(record), expected)
        case DeleteBody(record=record, expected=expected):
            return DeleteRecord(record, expected)
        case RaiseSchemaBody(schema=schema):
            return RaiseSchema(schema)
