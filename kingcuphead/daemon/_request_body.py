"""Request body that is buffered up to a limit."""

#: Maximum bytes beyond the limit that are read and discarded. The caller can then
#: finish sending and read the refusal, which a connection reset would discard.
MAX_DRAINED_BYTES = 16 * 1024 * 1024


class RequestBody:
    """Buffers the chunks of a body and checks its size.

    Parameters
    ----------
    limit_bytes
        Maximum size of the body in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._declared_bytes = 0

    @property
    def content(self) -> bytes:
        """The bytes received so far; empty once the body is too large."""
        return b"".join(self._chunks)

    @property
    def is_oversized(self) -> bool:
        """Whether the received or the declared size exceeds the limit."""
        return max(self._received_bytes, self._declared_bytes) > self._limit_bytes

    @property
    def exceeds_drain_limit(self) -> bool:
        """Whether the body is too large even to be read and discarded."""
        size_bytes = max(self._received_bytes, self._declared_bytes)
        return size_bytes > self._limit_bytes + MAX_DRAINED_BYTES

    def declare_size(self, content_length: str) -> None:
        """Set the size from the Content-Length header; ignore a malformed value."""
        if content_length.isdigit():
            self._declared_bytes = int(content_length)

    def add(self, chunk: bytes) -> None:
        """Buffer a chunk, or discard all chunks if the body is too large."""
        self._received_bytes += len(chunk)
        if self.is_oversized:
            self._chunks.clear()
        else:
            self._chunks.append(chunk)
