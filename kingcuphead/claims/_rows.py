"""Rows of the table that hold claims, and their codec."""

import urllib.parse
from typing import TypeAlias

import msgspec
from expression import Error, Ok, Result

from kingcuphead.storage import Row

#: Folder of the table that holds every claim.
CLAIMS_FOLDER = "claim/"
#: Version of the row format that this code writes.
SCHEMA = 1


class Held(msgspec.Struct, frozen=True, tag="held"):
    """The attempt may dispatch the call, or has done so."""


class Released(msgspec.Struct, frozen=True, tag="released"):
    """The attempt has not dispatched the call and never will."""

    #: Who found out, and how, where an operator released it.
    note: str = ""


class RecordedAnswer(msgspec.Struct, frozen=True, tag="recorded"):
    """The call was executed, and this is the answer to it."""

    #: HTTP status of the answer.
    status: int
    #: Headers that are replayed to a second try.
    headers: tuple[tuple[str, str], ...] = ()
    #: Body, or None if it was too large to be kept.
    body: bytes | None = b""


class AnswerLost(msgspec.Struct, frozen=True, tag="lost"):
    """The call was dispatched, and its answer never came."""

    #: Cause, in English.
    cause: str


class Resolved(msgspec.Struct, frozen=True, tag="resolved"):
    """An operator found out that the call was executed."""

    #: Who found out, and how.
    note: str


ClaimState: TypeAlias = Held | Released | RecordedAnswer | AnswerLost | Resolved


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a claim's row."""

    #: Version of the row format.
    schema: int = SCHEMA
    #: Unique id of the attempt that wrote the claim.
    attempt: str
    #: Digest of the request.
    fingerprint: str
    #: Instance that made the attempt.
    instance: str
    #: Request id under which the attempt was made.
    request_id: str
    #: Wall time of the claim, in seconds since the epoch.
    claimed_at: float
    #: What became of the call.
    state: ClaimState

    def with_state(self, state: ClaimState) -> "ClaimRow":
        """Return the row with another state."""
        return msgspec.structs.replace(self, state=state)


class UnreadableClaim(msgspec.Struct, frozen=True):
    """A claim's row can't be decoded, for example for its newer schema."""

    #: Key of the row.
    key: str
    #: Cause, in English.
    cause: str


def make_row_key(organisation: str, key: str) -> str:
    """Return the row key of a claim.

    Parameters
    ----------
    organisation : str
        Organisation that made the call.
    key : str
        Idempotency key of the call, as the caller gave it.
    """
    return make_organisation_prefix(organisation) + urllib.parse.quote(key, safe="")


def make_organisation_prefix(organisation: str) -> str:
    """Return what the row keys of an organisation's claims start with."""
    return f"{CLAIMS_FOLDER}{urllib.parse.quote(organisation, safe='')}/"


def split_row_key(row_key: str) -> tuple[str, str]:
    """Return the organisation and the idempotency key of a claim's row."""
    organisation, _, key = row_key.removeprefix(CLAIMS_FOLDER).partition("/")
    return urllib.parse.unquote(organisation), urllib.parse.unquote(key)


def encode_claim(claim: ClaimRow) -> bytes:
    """Return the row value of a claim."""
    return msgspec.json.encode(claim)


def decode_claim(row: Row) -> Result[ClaimRow, UnreadableClaim]:
    """Return the claim that a row holds."""
    try:
        claim = msgspec.json.decode(row.value, type=ClaimRow)
    except msgspec.DecodeError as error:
        return Error(UnreadableClaim(row.key, str(error)))
    if claim.schema != SCHEMA:
        return Error(UnreadableClaim(row.key, f"schema {claim.schema}"))
    return Ok(claim)
