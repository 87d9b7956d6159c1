"""Rows of the origins of streams, which outlast the daemons that began them."""

import hashlib
from collections.abc import Iterable, Iterator

import msgspec
from loguru import logger

from kingcuphead.decoding import DECODING_ERRORS
from kingcuphead.frozen import frozen
from kingcuphead.resumption._messages import BegunStream, ServedVersion
from kingcuphead.storage import Put, Row

#: Length in bytes of the digest that stands for the id of a try. Ids are chosen by
#: callers and may be long; the bytes of a row are priced.
DIGEST_BYTES = 8


class _Group(msgspec.Struct, frozen=True):
    service: str
    software_version: str
    # Digests of the ids of the tries, one after the other.
    digests: bytes


class _OriginRow(msgspec.Struct, frozen=True):
    # End of the row's lifetime on the store's clock, in milliseconds.
    expires_ms: int
    groups: tuple[_Group, ...]


_DECODER = msgspec.json.Decoder(_OriginRow)


@frozen
class SavedOrigins:
    """The content of one row."""

    #: The row.
    row: Row
    #: End of its lifetime on the store's clock, in milliseconds.
    expires_ms: int
    #: Origins of streams, by the digests of the tries that began them.
    origins: dict[bytes, ServedVersion]


def digest_id(request_id: str) -> bytes:
    """Return the digest that stands for the id of a try."""
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()


def encode_origins(key: str, streams: Iterable[BegunStream], expires_ms: int) -> Put:
    """Return the write of a row.

    Parameters
    ----------
    key
        Key of the row.
    streams
        Streams whose origins it keeps.
    expires_ms
        End of its lifetime on the store's clock, in milliseconds.
    """
    digests: dict[tuple[str, str], list[bytes]] = {}
    for stream in streams:
        version = (stream.service_name, stream.software_version)
        digests.setdefault(version, []).append(digest_id(stream.request_id))
    groups = (_Group(*version, b"".join(each)) for version, each in digests.items())
    return Put(key, msgspec.json.encode(_OriginRow(expires_ms, tuple(groups))))


def decode_origins(rows: Iterable[Row]) -> Iterator[SavedOrigins]:
    """Yield the contents of rows; a malformed one is logged and left out."""
    for row in rows:
        try:
            content = _DECODER.decode(row.value)
            origins = dict(_list_origins(content.groups))
        except DECODING_ERRORS as error:
            logger.warning("cannot decode origin row {}: {}", row.key, error)
            continue
        yield SavedOrigins(row, content.expires_ms, origins)


def _list_origins(groups: Iterable[_Group]) -> Iterator[tuple[bytes, ServedVersion]]:
    for group in groups:
        if len(group.digests) % DIGEST_BYTES:
            raise ValueError("a digest is incomplete")
        version = ServedVersion(group.service, group.software_version)
        for start in range(0, len(group.digests), DIGEST_BYTES):
            yield group.digests[start : start + DIGEST_BYTES], version
