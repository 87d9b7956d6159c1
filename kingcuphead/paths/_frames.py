"""Reads and writes the messages that open a tunnel, in Thrift's compact protocol."""

import struct
from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize
from tornado.iostream import IOStream

from kingcuphead.forwarding import TargetStream
from kingcuphead.logs import quote
from kingcuphead.paths._messages import TunnelAnswered, TunnelAsked
from kingcuphead.wire import find_codec, make_struct
from kingcuphead.wire.generated import datagram as structs

#: Largest message in bytes.
MAX_MESSAGE_BYTES = 1_024

T = TypeVar("T", TunnelAsked, TunnelAnswered)

_LENGTH = struct.Struct("!H")
_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_MESSAGE_BYTES, container_length_limit=MAX_MESSAGE_BYTES
)


class MalformedMessageError(ValueError):
    """Bytes that are no message for opening a tunnel."""


async def write_message(
    stream: IOStream | TargetStream, message: TunnelAsked | TunnelAnswered
) -> None:
    """Send a message."""
    content = bytes(serialize(make_struct(message, structs), _FACTORY))
    await stream.write(_LENGTH.pack(len(content)) + content)


async def read_message(stream: IOStream | TargetStream, cls: type[T]) -> T:
    """Receive a message.

    Raises
    ------
    StreamClosedError
        The connection ended before the message.
    MalformedMessageError
        The bytes are no message of this class.
    """
    (length,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if length > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"a message of {length} bytes")
    content = await stream.read_bytes(length)
    name: Any = cls
    encoded: Any = getattr(structs, cls.__name__)()
    try:
        deserialize(encoded, content, _FACTORY)
        message: T = find_codec(name, structs).decode(encoded)
    # The accelerated decoder raises exceptions of many types for malformed input.
    except Exception as error:
        cause = quote(error)
        raise MalformedMessageError(f"{type(error).__name__}: {cause}") from error
    return message
