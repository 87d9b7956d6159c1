"""Request bodies of the operators' API and their conversion to changes."""

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

#: Idempotency key of a command, which becomes part of a key of the table.
Id = Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9._-]{1,64}\Z")]
#: Maximum length of an operator's name, in characters.
MAX_AUTHOR_LENGTH = 128
#: Name of an operator.
Author = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_AUTHOR_LENGTH)]
#: Tokens of a payment.
Tokens = Annotated[int, msgspec.Meta(ge=1, le=10**15)]


class Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the request bodies."""


class PutBody(Body, frozen=True, tag="put"):
    """Edit that creates or replaces one record."""

    #: JSON of the record.
    record: msgspec.Raw
    #: Revision of the record that the edit replaces; 0 for a new record.
    expected: int


class DeleteBody(Body, frozen=True, tag="delete"):
    """Edit that deletes one record."""

    #: Kind and name of the record.
    record: RecordName
    #: Revision of the record that the edit deletes.
    expected: int


class RaiseSchemaBody(Body, frozen=True, tag="raise_schema"):
    """Edit that raises the highest schema version that is accepted."""

    #: Highest schema version to accept.
    schema: int


EditBody: TypeAlias = PutBody | DeleteBody | RaiseSchemaBody


class ChangeBody(Body, frozen=True):
    """Edits that are committed as one change."""

    #: Idempotency key of the change.
    id: Id
    #: Operator who makes the change.
    author: Author
    #: Edits that take effect together or not at all.
    edits: tuple[EditBody, ...]
    #: Whether the change is a retry of one that was sent with this id.
    repeated: bool = False

    def make_change(self, now: float) -> Change:
        """Return the change; `now` is in seconds since the Unix epoch."""
        edits = tuple(_make_edit(edit) for edit in self.edits)
        return Change(self.id, self.author, now, edits, self.repeated)


class LimitBody(Body, frozen=True):
    """Limit of a budget, for its creation or reduction."""

    #: Idempotency key of the command.
    id: Id
    #: Limit in tokens.
    limit: Annotated[int, msgspec.Meta(ge=0, le=10**15)]


class TopUpBody(Body, frozen=True):
    """Payment that adds tokens to a budget."""

    #: Idempotency key of the command.
    id: Id
    #: Tokens to add to the limit.
    tokens: Tokens


class ReleaseBody(Body, frozen=True):
    """Release of a terminated instance's grant."""

    #: Idempotency key of the command.
    id: Id


def decode_body(
    content: bytes, body_type: type[msgspec.Struct]
) -> Result[msgspec.Struct, OperatorFault]:
    """Decode a request body; the fault describes why it is invalid."""
    try:
        return Ok(msgspec.json.decode(content, type=body_type))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(OperatorFault(FaultKind.INVALID, f"invalid request body: {error}"))


def parse_id(text: str) -> Result[str, OperatorFault]:
    """Validate the id of a change from a header."""
    try:
        return Ok(msgspec.convert(text, Id))
    except msgspec.ValidationError:
        message = "Change-Id must have 1 to 64 letters, digits, '.', '_' or '-'"
        return Error(OperatorFault(FaultKind.INVALID, message))


def make_id() -> str:
    """Return a new random id for a command."""
    return uuid.uuid4().hex


def _make_edit(body: EditBody) -> Edit:
    match body:
        case PutBody(record=record, expected=expected):
            return PutRecord(bytes(record), expected)
        case DeleteBody(record=record, expected=expected):
            return DeleteRecord(record, expected)
        case RaiseSchemaBody(schema=schema):
            return RaiseSchema(schema)
