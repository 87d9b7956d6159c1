"""Splits a stream into whole events and follows their numbers."""

import dataclasses
from collections.abc import Iterator

#: Largest event in bytes.
MAX_EVENT_BYTES = 1_048_576
_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event of a stream."""

    #: Its number, which rises by one from event to event; None without one.
    number: int | None
    #: Its bytes, with the empty line at its end.
    content: bytes


class EventSplitter:
    """Cuts bytes into events; an event that is not whole is never returned."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an event that is not whole are left."""
        return bool(self._buffer)

    def feed(self, block: bytes) -> Iterator[Event]:
        """Take bytes and yield the events that they complete."""
        self._buffer += block
        while (end := _find_end(self._buffer)) > 0:
            content, self._buffer = self._buffer[:end], self._buffer[end:]
            yield Event(_read_number(content), content)


def _find_end(buffer: bytes) -> int:
    """Return where the first event ends, or -1."""
    ends = [found + len(mark) for mark in _ENDS if (found := buffer.find(mark)) >= 0]
    return min(ends, default=-1)


def _read_number(content: bytes) -> int | None:
    for line in content.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return None
