"""Decoding of the rows of the credit table, which another version may have written."""

from typing import TypeVar

import msgspec

from kingcuphead.logs import quote
from kingcuphead.storage import Row

T = TypeVar("T")


class UndecodableRowError(ValueError):
    """A row of the credit table that this version can't read."""

    def __init__(self, key: str, cause: object) -> None:
        super().__init__(f"cannot decode credit row {quote(key)}: {quote(cause)}")
        #: Key of the row.
        self.key = key


def decode_row(row: Row, decoder: "msgspec.json.Decoder[T]") -> T:
    """Return the content of a row.

    Raises
    ------
    UndecodableRowError
        The value of the row is malformed.
    """
    try:
        return decoder.decode(row.value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise UndecodableRowError(row.key, error) from error
