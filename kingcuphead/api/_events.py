"""Splitting, encoding and decoding of server-sent events."""

from collections.abc import Iterator

#: Blank line that terminates an event.
EVENT_END = b"\n\n"
#: Event that terminates a stream of the chat API.
DONE_EVENT = b"data: [DONE]\n\n"

_DATA = b"data:"
#: Prefixes of the valid lines of an event; a comment begins with a colon.
_FIELDS = (_DATA, b":", b"id:", b"event:", b"retry:")


class OversizedEventError(Exception):
    """An event from a target exceeds the size limit.

    Attributes
    ----------
    limit : int
        Size limit, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        super().__init__(f"event larger than {limit} bytes")


class EventSplitter:
    """Splits a stream of byte chunks at event boundaries.

    Parameters
    ----------
    max_event_bytes : int
        Size limit of a buffered, incomplete event, in bytes.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._partial_event = b""

    def split(self, chunk: bytes) -> bytes:
        """Return all events that this chunk completes, as one block.

        Carriage returns are removed: JSON escapes them in strings, so they occur
        only in line ends.

        Raises
        ------
        OversizedEventError
            If the incomplete event exceeds the limit.
        """
        pending = chunk.replace(b"\r", b"")
        if self._partial_event:
            pending = self._partial_event + pending
        end = pending.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._partial_event = pending[end:]
        if len(self._partial_event) > self._max_event_bytes:
            raise OversizedEventError(self._max_event_bytes)
        return pending[:end]


def encode_event(payload: bytes) -> bytes:
    """Return an event whose data is one line of JSON."""
    return b"data: " + payload + EVENT_END


def iterate_payloads(block: bytes) -> Iterator[bytes]:
    """Yield the data of each event in a block, skipping events without data."""
    for event in block.split(EVENT_END):
        payload = read_payload(event)
        if payload is not None:
            yield payload


def read_payload(event: bytes) -> bytes | None:
    """Return the data lines of one event, joined by newlines; None if it has none."""
    lines = [
        line.removeprefix(_DATA).removeprefix(b" ")
        for line in event.split(b"\n")
        if line.startswith(_DATA)
    ]
    return b"\n".join(lines) if lines else None


def has_only_fields(event: bytes) -> bool:
    """Return whether all non-empty lines of one event are fields or comments."""
    return all(line.startswith(_FIELDS) for line in event.split(b"\n") if line)
