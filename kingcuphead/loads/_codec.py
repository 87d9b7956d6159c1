"""Reports as datagrams, in thrift's compact protocol."""

from typing import Any

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from kingcuphead.loads._messages import LoadsReported
from kingcuphead.wire import find_codec, ttypes

#: Largest datagram in bytes.
MAX_DATAGRAM_BYTES = 60_000

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_DATAGRAM_BYTES, container_length_limit=MAX_DATAGRAM_BYTES
)
_CODEC = find_codec(LoadsReported)


def encode_report(report: LoadsReported) -> bytes:
    """Return the datagram of a report."""
    return bytes(serialize(_CODEC.encode(report), _FACTORY))


def decode_report(datagram: bytes) -> Result[LoadsReported, str]:
    """Return the report of a datagram, or what is wrong with it."""
    struct: Any = ttypes.LoadsReported()
    try:
        decoded: LoadsReported = _CODEC.decode(deserialize(struct, datagram, _FACTORY))
    # The accelerated decoder raises many types for hostile bytes.
    except Exception as error:
        return Error(f"{type(error).__name__}: {error}")
    return Ok(decoded)
