"""Decoding of the rows of the credit table, which another version may have written."""

from typing import TypeVar

import msgspec

from kingcuphead.decoding import DECODING_ERRORS
from kingcuphead.logs import quote
from kingcuphead.storage import Row

T = TypeVar("T", bound=msgspec.Struct)

#: Largest absolute value of a number in a row; sums of several still fit into floats.
MAX_NUMBER = 10**300


class UndecodableRowError(ValueError):
    """A row of the credit table that this version can't read."""

    def __init__(self, key: str, cause: object) -> None:
        super().__init__(f"cannot decode credit row {quote(key)}: {quote(cause)}")
        #: Key of the row.
        self.key = key


def decode_row(row: Row, decoder: "msgspec.json.Decoder[T]") -> T:
    """Return the content of a row, all of whose fields are numbers.

    Raises
    ------
    UndecodableRowError
        The value of the row is malformed, or a number in it is too large.
    """
    try:
        content = decoder.decode(row.value)
    except DECODING_ERRORS as error:
        raise UndecodableRowError(row.key, error) from error
    if any(abs(number) > MAX_NUMBER for number in msgspec.structs.astuple(content)):
        raise UndecodableRowError(row.key, "a number is too large")
    return content
