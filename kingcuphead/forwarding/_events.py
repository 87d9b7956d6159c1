"""Splits the bytes of a server-sent event stream into complete events."""

import dataclasses
from collections.abc import Iterator

#: Upper bound of an event in bytes.
MAX_EVENT_BYTES = 1_048_576
_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event of a stream."""

    #: Value of the id field, which rises by one with each event; None without a
    #: numeric id.
    event_id: int | None
    #: Bytes of the event, including the blank line at its end.
    content: bytes


class EventSplitter:
    """Buffers bytes and returns complete events only."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def is_oversized(self) -> bool:
        """Whether the buffer holds more bytes than an event may have."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds bytes of an incomplete event."""
        return bool(self._buffer)

    def feed(self, block: bytes) -> Iterator[Event]:
        """Append bytes to the buffer and yield the events that are now complete."""
        self._buffer += block
        while (end := _find_end(self._buffer)) > 0:
            content, self._buffer = self._buffer[:end], self._buffer[end:]
            yield Event(_parse_event_id(content), content)


def _find_end(buffer: bytes) -> int:
    """Return the index after the first event, or -1 if it is incomplete."""
    ends = [
        position + len(mark) for mark in _ENDS if (position := buffer.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _parse_event_id(content: bytes) -> int | None:
    for line in content.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
