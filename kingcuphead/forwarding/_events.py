"""Splits the bytes of a server-sent event stream into complete events."""

import re

from kingcuphead.frozen import frozen

#: Upper bound of an event in bytes.
MAX_EVENT_BYTES = 1_048_576

_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
#: Bytes of the longest end of an event.
_MAX_END_BYTES = 4
#: The first `id` field of an event with a numeric value.
_EVENT_ID = re.compile(rb"(?:\A|[\r\n])id:[ \t\v\f]*([0-9]+)[ \t\v\f]*(?=[\r\n])")


@frozen
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
        #: Whether an event has more bytes than it may have.
        self.is_oversized = False

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds bytes of an incomplete event."""
        return bool(self._buffer)

    def feed(self, block: bytes) -> list[Event]:
        """Append bytes to the buffer and return the events that are now complete.

        Nothing after an event that is too large is returned.
        """
        search_start = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        buffer = self._buffer + block if self._buffer else block
        events: list[Event] = []
        start = 0
        for match in _EVENT_END.finditer(buffer, search_start):
            end = match.end()
            if end - start > MAX_EVENT_BYTES:
                break
            events.append(_make_event(buffer[start:end]))
            start = end
        self._buffer = buffer[start:] if start else buffer
        self.is_oversized = len(self._buffer) > MAX_EVENT_BYTES
        return events


def _make_event(content: bytes) -> Event:
    match = _EVENT_ID.search(content)
    return Event(None if match is None else int(match[1]), content)
