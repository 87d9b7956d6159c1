"""Formats of the calls to the platform's store and of its replies."""

import base64
import binascii
import http
from collections.abc import Iterator, Sequence

import msgspec
from expression import Error, Ok, Result
from loguru import logger

from kingcuphead.decoding import DECODING_ERRORS, parse_count
from kingcuphead.frozen import frozen
from kingcuphead.logs import quote
from kingcuphead.storage import (
    CommitOutcome,
    Committed,
    Conflict,
    Delete,
    NotSent,
    PlatformFault,
    Put,
    Replied,
    ReplyLost,
    Row,
    Transaction,
    Unknown,
)

OK, GONE, PRECONDITION_FAILED = 200, 410, 412
#: Statuses, besides 503, with which the store states that a transaction had no effect.
REFUSING_STATUSES = frozenset(
    {
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.FORBIDDEN,
        http.HTTPStatus.NOT_FOUND,
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.INSUFFICIENT_STORAGE,
    }
)
#: Header of all replies with the number of times that the store was restored from a
#: copy; rows and versions of different eras are unrelated.
_ERA = "Store-Era"
#: Largest era; messages between daemons and rows can carry it.
_MAX_ERA = 2**53


class _Row(msgspec.Struct):
    key: str
    table: str = ""
    part: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False


class Page(msgspec.Struct):
    """Rows of one reply, and the state of the store when it read them."""

    rows: list[_Row] = []
    has_more: bool = False
    ver: int = 0
    # Monotonic clock of the store, in milliseconds since an unspecified epoch.
    now_ms: int = 0


class _Version(msgspec.Struct):
    ver: int = 0
    now_ms: int = 0


_PAGE = msgspec.json.Decoder(Page)
_VERSION = msgspec.json.Decoder(_Version)


@frozen
class Change:
    """A row that was written or removed."""

    #: Key of the row.
    key: str
    #: New value; None if the row was removed.
    value: bytes | None


@frozen
class Changes:
    """Changes of a table after one version, up to and including another."""

    #: The changes, oldest first.
    changes: tuple[Change, ...]
    #: Version after which the next read of the feed starts.
    version: int
    #: Era of the store from which the changes are.
    era: int = 0
    #: Bytes of the reply that contained them.
    size: int = 0
    #: Whether the store has more changes, which it left out of the reply.
    has_more: bool = False


@frozen
class HistoryLost:
    """The store no longer has the requested changes; the table must be read again."""


def decode_era(reply: Replied) -> int:
    """Return the era that a reply names; 0 if it names none or is malformed."""
    values = reply.headers.get_list(_ERA)
    if not values:
        return 0
    try:
        (value,) = values
        era = parse_count(value, _MAX_ERA + 1)
    except ValueError:
        era = _MAX_ERA + 1
    if era <= _MAX_ERA:
        return era
    logger.warning("invalid era of the store: {}", quote(values))
    return 0


def decode_time(content: bytes) -> int:
    """Return the store's time in milliseconds; 0 if the reply has none."""
    try:
        return _VERSION.decode(content).now_ms
    except DECODING_ERRORS:
        # `decode_outcome` logs the decoding error.
        return 0


def decode_outcome(reply: Replied) -> CommitOutcome:
    """Decode the reply to a transaction that was applied or failed a check."""
    era = decode_era(reply)
    try:
        if reply.status == OK:
            return Committed(_VERSION.decode(reply.body).ver, era)
        existing = _list_existing(_PAGE.decode(reply.body))
        rows = tuple(_make_row(each) for each in existing)
    except DECODING_ERRORS as error:
        logger.error("cannot decode the store's reply to a transaction: {}", error)
        return Unknown()
    return Conflict(rows, era)


def decode_page(
    operation: str, reply: Replied | NotSent | ReplyLost
) -> Result[Page, PlatformFault]:
    """Decode the reply to a read."""
    match reply:
        case Replied(status, content) if status == OK:
            try:
                return Ok(_PAGE.decode(content))
            except DECODING_ERRORS as error:
                return Error(PlatformFault(operation, str(error)))
        case Replied(status):
            return Error(PlatformFault(operation, f"HTTP {status}"))
        case NotSent(cause) | ReplyLost(cause):
            return Error(PlatformFault(operation, cause))


def iterate_rows(page: Page) -> Iterator[Row]:
    """Yield the existing rows of a page, without those whose values are malformed."""
    for each in _list_existing(page):
        try:
            yield _make_row(each)
        except binascii.Error as error:
            logger.warning("cannot decode the value of row {}: {}", each.key, error)


def make_changes(page: Page, era: int, size: int) -> Changes:
    """Return the changes of the rows outside of any part, in commit order.

    Parameters
    ----------
    page
        Decoded reply.
    era
        Era that the reply names.
    size
        Bytes of the reply.
    """
    rows = [each for each in page.rows if not each.part]
    version = page.ver
    if page.has_more and page.rows:
        # The store's version may be that of a change which the reply leaves out.
        version = min(version, page.rows[-1].ver)
    changes = tuple(_iterate_changes(rows))
    return Changes(changes, version, era, size, page.has_more)


def encode_transaction(table: str, part: str, transaction: Transaction) -> bytes:
    """Encode a transaction on one part of a table."""
    row_scope = {"table": table, "part": part}
    return msgspec.json.encode(
        {
            "expect": [
                {**row_scope, "key": check.key, "ver": check.version}
                for check in transaction.checks
            ],
            "puts": [
                {
                    **row_scope,
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                }
                for write in transaction.writes
                if isinstance(write, Put)
            ],
            "remove": [
                {**row_scope, "key": write.key}
                for write in transaction.writes
                if isinstance(write, Delete)
            ],
        }
    )


def _list_existing(page: Page) -> list[_Row]:
    return [each for each in page.rows if not each.removed and each.ver]


def _make_row(row: _Row) -> Row:
    return Row(row.key, row.ver, base64.b64decode(row.value))


def _iterate_changes(rows: Sequence[_Row]) -> Iterator[Change]:
    for each in rows:
        try:
            value = None if each.removed else base64.b64decode(each.value)
        except binascii.Error as error:
            logger.warning("cannot decode the value of row {}: {}", each.key, error)
            continue
        yield Change(each.key, value)
