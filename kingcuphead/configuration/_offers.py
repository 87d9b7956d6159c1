"""The whole configuration in one message between daemons."""

import zlib

import msgspec
from expression import Error, Ok, Result

from kingcuphead.configuration._rows import Head, decode_stored, encode_stored
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.records import RecordFault

#: Fast compression; records repeat their field names.
COMPRESSION_LEVEL = 1


class _WrittenOffer(msgspec.Struct, frozen=True):
    head: Head
    version: int
    records: tuple[msgspec.Raw, ...]


def encode_offer(snapshot: Snapshot) -> bytes:
    """Encode a snapshot for a peer."""
    records = snapshot.records.values()
    rows = tuple(msgspec.Raw(encode_stored(stored)) for stored in records)
    offer = _WrittenOffer(snapshot.head, snapshot.version, rows)
    return zlib.compress(msgspec.json.encode(offer), COMPRESSION_LEVEL)


def decode_offer(content: bytes, schema: int) -> Result[Snapshot, RecordFault]:
    """Decode a snapshot from a peer.

    Parameters
    ----------
    content : bytes
        What `encode_offer` returned.
    schema : int
        Highest schema version to accept.

    Returns
    -------
    Result[Snapshot, RecordFault]
        The snapshot, or the first record that can't be read.
    """
    try:
        offer = msgspec.json.decode(zlib.decompress(content), type=_WrittenOffer)
    except (zlib.error, msgspec.DecodeError) as error:
        return Error(RecordFault("offer", "", str(error)))
    records = []
    for row in offer.records:
        match decode_stored(bytes(row), schema):
            case Result(tag="ok", ok=stored):
                records.append(stored)
            case Result(error=fault):
                return Error(fault)
    return Ok(Snapshot(offer.head, offer.version).with_records(records))
