"""Server-sent events: split from byte chunks, encoded and read."""

from collections.abc import Iterable, Iterator

#: Ends an event.
EVENT_END = b"\n\n"
#: The event by which the chat API ends a stream.
DONE_EVENT = b"data: [DONE]\n\n"

_DATA = b"data:"


class OversizedEventError(Exception):
    """A target sent an event that is larger than allowed.

    Attributes
    ----------
    limit : int
        Most bytes that an event may have.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        super().__init__(f"event larger than {limit} bytes")


class EventSplitter:
    """Cuts a stream of byte chunks at the ends of events.

    Parameters
    ----------
    max_event_bytes : int
        Largest event, in bytes; this bounds the buffer.
    """

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The bytes of an event whose end hasn't come yet."""
        return self._rest

    def split(self, chunk: bytes) -> bytes:
        r"""Return every event that is complete by now, as one block.

        Carriage returns are dropped: inside JSON they are escaped, so they occur
        in line ends alone.

        Raises
        ------
        OversizedEventError
            If the rest grows beyond the limit.
        """
        pending = chunk.replace(b"\r", b"")
        if self._rest:
            pending = self._rest + pending
        end = pending.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._rest = pending[end:]
        if len(self._rest) > self._max_event_bytes:
            raise OversizedEventError(self._max_event_bytes)
        return pending[:end]


def encode_event(payload: bytes) -> bytes:
    """Return the event that carries one line of JSON."""
    return b"data: " + payload + EVENT_END


def iterate_payloads(block: bytes) -> Iterator[bytes]:
    """Yield the data of each event of a block; comments carry none."""
    for event in block.split(EVENT_END):
        payload = read_payload(event)
        if payload is not None:
            yield payload


def read_payload(event: bytes) -> bytes | None:
    """Return the data of one event, its lines joined; None if it has none."""
    lines = [
        line.removeprefix(_DATA).removeprefix(b" ")
        for line in event.split(b"\n")
        if line.startswith(_DATA)
    ]
    return b"\n".join(lines) if lines else None


def decode_events(chunks: Iterable[bytes], max_event_bytes: int) -> Iterator[bytes]:
    """Yield the data of each event of a stream of chunks.

    Raises
    ------
    OversizedEventError
        If an event is larger than `max_event_bytes`.
    """
    splitter = EventSplitter(max_event_bytes)
    for chunk in chunks:
        yield from iterate_payloads(splitter.split(chunk))
