"""Length-prefixed frames on a byte stream."""

import struct

from tornado.iostream import IOStream

from kingcuphead.peers._envelope import MAX_FRAME_BYTES

_LENGTH = struct.Struct(">I")


class FrameTooLargeError(ValueError):
    """A frame header has a length above `MAX_FRAME_BYTES`."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(
            f"a peer sent a frame header with a length of {size_bytes} bytes;"
            f" the limit is {MAX_FRAME_BYTES}"
        )
        #: Payload length in the frame header, in bytes.
        self.size_bytes = size_bytes


def add_length(payload: bytes) -> bytes:
    """Return a frame: the payload prefixed with its length."""
    return _LENGTH.pack(len(payload)) + payload


async def read_frame(stream: IOStream) -> bytes:
    """Read one frame and return its payload.

    Raises
    ------
    FrameTooLargeError
        The length in the frame header is above `MAX_FRAME_BYTES`.
    tornado.iostream.StreamClosedError
        The connection was closed before the end of the frame.
    """
    (size_bytes,) = _LENGTH.unpack(await stream.read_bytes(_LENGTH.size))
    if size_bytes > MAX_FRAME_BYTES:
        raise FrameTooLargeError(size_bytes)
    return await stream.read_bytes(size_bytes)
