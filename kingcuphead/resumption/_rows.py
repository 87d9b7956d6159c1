"""Rows of the software versions that serve, which outlast the daemons that saw them."""

import hashlib
from collections.abc import Iterable, Iterator

import msgspec
from loguru import logger

from kingcuphead.decoding import DECODING_ERRORS
from kingcuphead.resumption._messages import ServedVersion
from kingcuphead.storage import Put, Row

#: Length in bytes of the digest that is the key of a row.
KEY_BYTES = 16


class _VersionRow(msgspec.Struct, frozen=True):
    service: str
    software_version: str


_DECODER = msgspec.json.Decoder(_VersionRow)


def make_key(version: ServedVersion) -> str:
    """Return the key of a version's row."""
    name = f"{version.service}\0{version.software_version}"
    return hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).hexdigest()


def encode_row(version: ServedVersion) -> Put:
    """Return the write of a version's row."""
    row = _VersionRow(version.service, version.software_version)
    return Put(make_key(version), msgspec.json.encode(row))


def decode_rows(rows: Iterable[Row]) -> Iterator[ServedVersion]:
    """Yield the versions of rows; a malformed one is logged and left out."""
    for row in rows:
        try:
            decoded = _DECODER.decode(row.value)
        except DECODING_ERRORS as error:
            logger.warning("cannot decode version row {}: {}", row.key, error)
            continue
        yield ServedVersion(decoded.service, decoded.software_version)
