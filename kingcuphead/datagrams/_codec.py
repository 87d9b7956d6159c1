"""Encodes and decodes datagrams in Thrift's compact protocol."""

from typing import Any

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

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


def encode_datagram(message: Datagram) -> bytes:
    """Return a message as the bytes of one datagram."""
    cls: Any = type(message)
    struct = find_codec(cls, structs).encode(message)
    union = structs.Datagram(**{_FIELDS[cls]: struct})
    return bytes(serialize(union, _FACTORY))


def decode_datagram(datagram: bytes) -> Result[Datagram, str]:
    """Return the message of a datagram, or the cause of the decoding error."""
    union: Any = structs.Datagram()
    try:
        deserialize(union, datagram, _FACTORY)
        for cls, field in _FIELDS.items():
            struct = getattr(union, field)
            if struct is not None:
                message: Datagram = find_codec(cls, structs).decode(struct)
                return Ok(message)
    # The accelerated decoder raises exceptions of many types for malformed input.
    except Exception as error:
        return Error(f"{type(error).__name__}: {error}")
    return Error("the datagram contains no known message")
