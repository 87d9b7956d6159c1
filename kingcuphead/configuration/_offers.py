"""Encoding of the complete configuration for a message between daemons."""

import dataclasses
import zlib

import msgspec
from expression import Error, Ok, Result

from kingcuphead.configuration._rows import Head, decode_stored, encode_stored
from kingcuphead.configuration._snapshot import Snapshot
from kingcuphead.records import RecordFault

#: Fastest zlib level; it suffices, as every record repeats the same field names.
COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Decoded configuration of a peer."""

    #: Configuration of the peer; may be inconsistent, see `Snapshot.is_consistent`.
    snapshot: Snapshot
    #: Seconds from the peer's last confirmation to its reply, or None if its
    #: revision was never confirmed.
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
        Configuration in force on this daemon.
    age : float or None
        Seconds since its revision was confirmed as the newest one, or None if it was
        never confirmed.
    """
    records = snapshot.records.values()
    rows = tuple(msgspec.Raw(encode_stored(stored)) for stored in records)
    offer = _WrittenOffer(age, snapshot.head, snapshot.version, rows)
    return zlib.compress(msgspec.json.encode(offer), COMPRESSION_LEVEL)


def decode_offer(content: bytes, schema: int) -> Result[Offer, RecordFault]:
    """Decode the configuration of a peer.

    Parameters
    ----------
    content : bytes
        Configuration encoded by `encode_offer`.
    schema : int
        Highest schema version to accept.

    Returns
    -------
    Result[Offer, RecordFault]
        The offer, or the fault of the message or of its first invalid record.
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
