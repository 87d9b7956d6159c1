"""Claim rows of the platform's table, with their keys and codec."""

import urllib.parse
from typing import TypeAlias

import msgspec
from expression import Error, Ok, Result

from kingcuphead.storage import Row

#: Key prefix of all claim rows.
CLAIM_KEY_PREFIX = "claim/"
#: Version of the row format that this code writes, and the only one it reads.
SCHEMA = 1


class Held(msgspec.Struct, frozen=True, tag="held"):
    """The attempt may dispatch the call or has dispatched it."""


class Released(msgspec.Struct, frozen=True, tag="released"):
    """The attempt did not dispatch the call and never will."""

    #: Operator and evidence if an operator released the claim, else empty.
    note: str = ""


class RecordedAnswer(msgspec.Struct, frozen=True, tag="recorded"):
    """The call was executed; holds the HTTP response of the target."""

    #: HTTP status code.
    status: int
    #: HTTP headers to replay to retries of the call.
    headers: tuple[tuple[str, str], ...] = ()
    #: Response body, or None if it was too large to store.
    body: bytes | None = b""


class AnswerLost(msgspec.Struct, frozen=True, tag="lost"):
    """The call was dispatched, and no complete answer was received."""

    #: Cause, in English.
    cause: str


class Resolved(msgspec.Struct, frozen=True, tag="resolved"):
    """An operator determined that the call was executed."""

    #: Operator and evidence.
    note: str


ClaimState: TypeAlias = Held | Released | RecordedAnswer | AnswerLost | Resolved


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a claim row."""

    #: Version of the row format, for rolling upgrades.
    schema: int = SCHEMA
    #: Unique id of the attempt that wrote the claim.
    attempt: str
    #: Digest of the HTTP request, to detect a key reused for another request.
    fingerprint: str
    #: Name of the instance that made the attempt.
    instance: str
    #: Request id of the attempt.
    request_id: str
    #: Wall time at which the attempt began, in seconds since the epoch.
    claimed_at: float
    #: Outcome of the call, or `Held` before it is recorded.
    state: ClaimState

    def with_state(self, state: ClaimState) -> "ClaimRow":
        """Return a copy of the row with another state."""
        return msgspec.structs.replace(self, state=state)


class UnreadableClaim(msgspec.Struct, frozen=True):
    """A claim row couldn't be decoded, for example because its schema is newer."""

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
        Idempotency key of the call, unescaped.
    """
    return make_organisation_prefix(organisation) + urllib.parse.quote(key, safe="")


def make_organisation_prefix(organisation: str) -> str:
    """Return the row key prefix of an organisation's claims."""
    return f"{CLAIM_KEY_PREFIX}{urllib.parse.quote(organisation, safe='')}/"


def split_row_key(row_key: str) -> tuple[str, str]:
    """Split the row key of a claim into organisation and idempotency key."""
    organisation, _, key = row_key.removeprefix(CLAIM_KEY_PREFIX).partition("/")
    return urllib.parse.unquote(organisation), urllib.parse.unquote(key)


def encode_claim(claim: ClaimRow) -> bytes:
    """Encode a claim as a row value."""
    return msgspec.json.encode(claim)


def decode_claim(row: Row) -> Result[ClaimRow, UnreadableClaim]:
    """Decode the claim in a row."""
    try:
        claim = msgspec.json.decode(row.value, type=ClaimRow)
    except msgspec.DecodeError as error:
        return Error(UnreadableClaim(row.key, str(error)))
    if claim.schema != SCHEMA:
        return Error(UnreadableClaim(row.key, f"schema {claim.schema}"))
    return Ok(claim)
