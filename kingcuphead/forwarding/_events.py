"""Splits the bytes of a server-sent event stream into complete events."""

import enum
import re

from kingcuphead.decoding import parse_count
from kingcuphead.forwarding._messages import MAX_EVENT_ID
from kingcuphead.frozen import frozen

#: Upper bound of an event in bytes.
MAX_EVENT_BYTES = 1_048_576

_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
#: Bytes of the longest end of an event.
_MAX_END_BYTES = 4
#: The first `id` field of an event with a numeric value.
_EVENT_ID = re.compile(rb"(?:\A|[\r\n])id:[ \t\v\f]*([0-9]+)[ \t\v\f]*(?=[\r\n])")
#: A field or a comment. Names of fields are in lower case, unlike those of HTTP
#: headers. An event of type `error` is not a part of the stream, even with an id.
_LINE = (
    rb"(?:(?!event: ?error[ \t]*[\r\n])[a-z][a-z0-9_.-]*+(?::[^\r\n]*+)?|:[^\r\n]*+)"
)
#: An event whose lines are fields or comments and have the same line ends. An HTTP head
#: that follows an incomplete event has other line ends, or lines that aren't fields.
_WELL_FORMED = re.compile(
    rb"\n*+(?:%b\n)++\n|(?:\r\n)*+(?:%b\r\n)++\r\n" % (_LINE, _LINE)
)
#: Only comments and blank lines.
_COMMENT = re.compile(rb"(?:(?::[^\r\n]*)?(?:\n|\r\n))*")


class EventKind(enum.Enum):
    """Kind of a block, the bytes up to and including a blank line."""

    #: An event of the stream, which has an id.
    NUMBERED = enum.auto()
    #: Only comments, which belong to no event and may be anywhere in a stream.
    COMMENT = enum.auto()
    #: Not a part of the stream: without an id, malformed, or of type `error`.
    INVALID = enum.auto()


@frozen
class Event:
    """One complete event of a stream, or comments."""

    #: Value of the id field, which rises by one with each event; None without a
    #: numeric id.
    event_id: int | None
    #: Bytes of the event, including the blank line at its end.
    content: bytes
    #: What the bytes are.
    kind: EventKind = EventKind.NUMBERED


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
    if match is not None:
        event_id = parse_count(match[1].decode(), MAX_EVENT_ID + 1)
        is_well_formed = _WELL_FORMED.fullmatch(content) is not None
        is_valid = is_well_formed and event_id <= MAX_EVENT_ID
        kind = EventKind.NUMBERED if is_valid else EventKind.INVALID
        return Event(event_id, content, kind)
    is_comment = _COMMENT.fullmatch(content) is not None
    return Event(None, content, EventKind.COMMENT if is_comment else EventKind.INVALID)
