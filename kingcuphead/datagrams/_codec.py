"""Encodes and decodes datagrams in Thrift's compact protocol."""

from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer
from thrift.TSerialization import serialize

from kingcuphead.capacity import CapacityReported
from kingcuphead.credit import CreditAsked, CreditHanded
from kingcuphead.forwarding import TargetStated
from kingcuphead.loads import LoadsReported, PlacementAnnounced
from kingcuphead.permits import (
    CoordinatorProbed,
    PermitAnswered,
    PermitAsked,
    PermitMessage,
    ProbeAnswered,
    RoomReported,
    TermsReported,
)
from kingcuphead.quarantine import (
    AnswersReported,
    CrashReported,
    QuarantineMessage,
    QuarantineReported,
)
from kingcuphead.resumption import ResumptionMessage, StreamAsked, StreamsBegan
from kingcuphead.targets import ZonesAsked, ZonesReported
from kingcuphead.wire import find_codec, name_field
from kingcuphead.wire.generated import datagram as generated

# The generated code has no type annotations.
structs: Any = generated

#: Maximum size of a datagram in bytes, used as the length limit of the strings and
#: containers in it.
MAX_DATAGRAM_BYTES = 60_000

Datagram = (
    LoadsReported
    | PlacementAnnounced
    | CreditAsked
    | CreditHanded
    | QuarantineMessage
    | ResumptionMessage
    | PermitMessage
    | TargetStated
    | CapacityReported
    | ZonesAsked
    | ZonesReported
)

_CLASSES = (
    LoadsReported,
    PlacementAnnounced,
    CreditAsked,
    CreditHanded,
    CrashReported,
    AnswersReported,
    QuarantineReported,
    StreamsBegan,
    StreamAsked,
    PermitAsked,
    PermitAnswered,
    CoordinatorProbed,
    ProbeAnswered,
    TermsReported,
    TargetStated,
    RoomReported,
    CapacityReported,
    ZonesAsked,
    ZonesReported,
)
#: Union field of each class.
_FIELDS: dict[Any, str] = {cls: name_field(cls) for cls in _CLASSES}
# The encoder in Python, which would be the fallback, accepts only generated structs.
_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_DATAGRAM_BYTES,
    container_length_limit=MAX_DATAGRAM_BYTES,
    fallback=False,
)
#: Reads each datagram from a transport of its own; the accelerated decoder keeps no
#: state here.
_READER: Any = _FACTORY.getProtocol(TMemoryBuffer())


class DatagramError(ValueError):
    """A datagram that is malformed or contains no known message."""


def encode_datagram(message: Datagram) -> bytes:
    """Return a message as the bytes of one datagram."""
    cls: Any = type(message)
    struct = find_codec(cls, structs).encode(message)
    union = structs.Datagram(**{_FIELDS[cls]: struct})
    return bytes(serialize(union, _FACTORY))


def decode_datagram(datagram: bytes) -> Datagram:
    """Return the message of a datagram.

    Raises
    ------
    DatagramError
        The datagram is malformed, or its message is unknown. This isn't returned as a
        result, since a result would cost as much as the decoding.
    """
    union: Any = structs.Datagram()
    try:
        _READER.trans = TMemoryBuffer(datagram)
        union.read(_READER)
        for cls, field in _FIELDS.items():
            struct = getattr(union, field)
            if struct is not None:
                message: Datagram = find_codec(cls, structs).decode(struct)
                return message
    # The accelerated decoder raises exceptions of many types for malformed input.
    except Exception as error:
        raise DatagramError(f"{type(error).__name__}: {error}") from error
    raise DatagramError("the datagram contains no known message")
