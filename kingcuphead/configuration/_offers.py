"""The whole configuration in one message between daemons."""

import dataclasses
import zlib

import msgspec
from expression import Error, Ok, Result

from kingcuphead.configuration._rows import Head, decode_stored, encode_stored
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.records import RecordFault

#: Fast compression; records repeat their field names.
COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A peer's configuration as it was decoded."""

    #: The configuration; whole only if it says so.
    snapshot: Snapshot
    #: Seconds between the peer's last confirmation and its answer, or None if it
    #: had none.
    age: float | None


class _WrittenOffer(msgspec.Struct, frozen=True):
    age: float | None
    head: Head
    version: int
    records: tuple[msgspec.Raw, ...]


def encode_offer(snapshot: Snapshot, age: float | None) -> bytes:
    """Encode a snapshot for a peer.

    Parameters
    ----------
    snapshot : Snapshot
        What is in force here.
    age : float or None
        Seconds since it was confirmed as the newest one.
    """
    records = snapshot.records.values()
    rows = tuple(msgspec.Raw(encode_stored(stored)) for stored in records)
    offer = _WrittenOffer(age, snapshot.head, snapshot.version, rows)
    return zlib.compress(msgspec.json.encode(offer), COMPRESSION_LEVEL)


def decode_offer(content: bytes, schema: int) -> Result[Offer, RecordFault]:
    """Decode what a peer sent.

    Parameters
    ----------
    content : bytes
        What `encode_offer` returned.
    schema : int
        Highest schema version to accept.

    Returns
    -------
    Result[Offer, RecordFault]
        The offer, or the first record that can't be read.
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
    snapshot = Snapshot(offer.head, offer.version).with_records(records)
    return Ok(Offer(snapshot, offer.age))
