"""Encoding of envelopes in Thrift's compact protocol."""

from typing import Any

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from kingcuphead.frozen import frozen
from kingcuphead.peers._messages import MESSAGE_TYPES, PeerMessage
from kingcuphead.wire import find_codec, name_field
from kingcuphead.wire.generated import peer as generated

#: Maximum size of a frame payload in bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024

# The generated code has no type annotations.
peer: Any = generated

# The encoder in Python, which would be the fallback, accepts only generated structs.
_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_FRAME_BYTES,
    fallback=False,
)


_FIELDS: dict[Any, str] = {cls: name_field(cls) for cls in MESSAGE_TYPES}
_TYPES = {field: cls for cls, field in _FIELDS.items()}


@frozen
class Envelope:
    """A message with the identity of its sender."""

    #: Instance name of the sending daemon.
    sender: str
    #: Incarnation of the sending daemon, as in `Member.incarnation`.
    incarnation: int
    #: Message of one of the types in `MESSAGE_TYPES`.
    message: PeerMessage


@frozen
class FrameFault:
    """Error value for a frame payload that cannot be decoded."""

    #: Description of the failure, for the log.
    cause: str

    @property
    def message(self) -> str:
        """Log message."""
        return f"cannot decode a frame from a peer: {self.cause}"


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as a frame payload, without the length prefix."""
    cls: Any = type(envelope.message)
    struct = find_codec(cls, peer).encode(envelope.message)
    union = peer.PeerMessage(**{_FIELDS[cls]: struct})
    return bytes(
        serialize(peer.Envelope(envelope.sender, envelope.incarnation, union), _FACTORY)
    )


def decode_envelope(payload: bytes) -> Result[Envelope, FrameFault]:
    """Decode a frame payload.

    Returns
    -------
    Result
        The envelope, or a fault if the payload is not an envelope, has a message type
        of a newer release, or has a field value that is invalid for its type.
    """
    try:
        struct = deserialize(peer.Envelope(), payload, _FACTORY)
        field = next(name for name in _TYPES if getattr(struct.message, name, None))
        decoded = find_codec(_TYPES[field], peer).decode(getattr(struct.message, field))
    except StopIteration:
        return Error(FrameFault("the envelope contains no known message type"))
    # The accelerated decoder raises exceptions of many types for malformed input.
    except Exception as error:
        return Error(FrameFault(f"{type(error).__name__}: {error}"))
    if not isinstance(struct.sender, str) or not isinstance(struct.incarnation, int):
        return Error(FrameFault("the envelope lacks the sender's name or incarnation"))
    return Ok(Envelope(struct.sender, struct.incarnation, decoded))
