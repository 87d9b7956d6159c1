"""Frames between daemons: an envelope in thrift's compact protocol."""

import dataclasses
import re
from typing import Any

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from kingcuphead.wire._conversion import find_codec
from kingcuphead.wire._messages import MESSAGE_TYPES, PeerMessage
from kingcuphead.wire.generated import ttypes as generated

#: Largest frame that a daemon sends or accepts, in bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024

# The generated code is not typed.
ttypes: Any = generated

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=MAX_FRAME_BYTES
)


def name_field(cls: type[Any]) -> str:
    """Return the union's field for a message class: its name in snake case."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", cls.__name__).lower()


_FIELDS: dict[Any, str] = {cls: name_field(cls) for cls in MESSAGE_TYPES}
_TYPES = {field: cls for cls, field in _FIELDS.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """One message with its sender."""

    #: Instance name of the sender.
    sender: str
    #: Incarnation of the sender.
    incarnation: int
    #: The message.
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class FrameFault:
    """A frame that could not be read."""

    #: Cause, in English.
    cause: str

    @property
    def message(self) -> str:
        """The sentence for the log."""
        return f"unreadable frame from a peer: {self.cause}"


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the frame's payload, without its length."""
    cls: Any = type(envelope.message)
    struct = find_codec(cls).encode(envelope.message)
    union = ttypes.PeerMessage(**{_FIELDS[cls]: struct})
    return bytes(
        serialize(
            ttypes.Envelope(envelope.sender, envelope.incarnation, union), _FACTORY
        )
    )


def decode_envelope(payload: bytes) -> Result[Envelope, FrameFault]:
    """Read a frame's payload.

    Returns
    -------
    Result
        The envelope, or a fault for bytes that are no envelope, a message of a
        newer release, or a field with a value outside its type.
    """
    try:
        struct = deserialize(ttypes.Envelope(), payload, _FACTORY)
        field = next(name for name in _TYPES if getattr(struct.message, name, None))
        decoded = find_codec(_TYPES[field]).decode(getattr(struct.message, field))
    except StopIteration:
        return Error(FrameFault("no known message in the envelope"))
    # The accelerated decoder raises many types for hostile bytes.
    except Exception as error:
        return Error(FrameFault(f"{type(error).__name__}: {error}"))
    if not isinstance(struct.sender, str) or not isinstance(struct.incarnation, int):
        return Error(FrameFault("the envelope names no sender"))
    return Ok(Envelope(struct.sender, struct.incarnation, decoded))
