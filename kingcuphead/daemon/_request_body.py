"""A request body that is kept up to a limit."""

#: Bytes beyond the limit that are read and dropped, so that the caller has sent its
#: request and can read the refusal instead of losing it with the connection.
DRAINED_BYTES = 16 * 1024 * 1024


class RequestBody:
    """Collects a body as it comes.

    Parameters
    ----------
    limit_bytes
        Most bytes that are kept.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._blocks: list[bytes] = []
        self._received_bytes = 0
        self._announced_bytes = 0

    @property
    def content(self) -> bytes:
        """What has come."""
        return b"".join(self._blocks)

    @property
    def is_oversized(self) -> bool:
        """Whether the body is larger than the limit."""
        return max(self._received_bytes, self._announced_bytes) > self._limit_bytes

    @property
    def is_endless(self) -> bool:
        """Whether so much is coming that the connection should be closed."""
        size_bytes = max(self._received_bytes, self._announced_bytes)
        return size_bytes > self._limit_bytes + DRAINED_BYTES

    def announce(self, content_length: str) -> None:
        """Take the header that announces the size; anything but digits is ignored."""
        if content_length.isdigit():
            self._announced_bytes = int(content_length)

    def add(self, chunk: bytes) -> None:
        """Keep a part of the body, or drop it if the body is too large."""
        self._received_bytes += len(chunk)
        if self.is_oversized:
            self._blocks.clear()
        else:
            self._blocks.append(chunk)
