"""Length-prefixed frames on a byte stream."""

import struct

from tornado.iostream import IOStream

from kingcuphead.wire import MAX_FRAME_BYTES

_LENGTH = struct.Struct(">I")


class FrameTooLargeError(ValueError):
    """A peer announced a frame above the limit."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(
            f"a peer announced a frame of {size_bytes} bytes;"
            f" the limit is {MAX_FRAME_BYTES}"
        )
        #: The size announced.
        self.size_bytes = size_bytes


def add_length(payload: bytes) -> bytes:
    """Return the payload as a frame."""
    return _LENGTH.pack(len(payload)) + payload


async def read_frame(stream: IOStream) -> bytes:
    """Read one frame's payload.

    Raises
    ------
    FrameTooLargeError
        The announced length is above the limit.
    tornado.iostream.StreamClosedError
        The connection ended.
    """
    (size_bytes,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if size_bytes > MAX_FRAME_BYTES:
        raise FrameTooLargeError(size_bytes)
    return await stream.read_bytes(size_bytes)
