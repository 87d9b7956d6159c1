"""Passes the events of one target's answer on to the caller's stream."""

from collections.abc import Sequence

from kingcuphead.forwarding._events import (
    MAX_EVENT_BYTES,
    Event,
    EventKind,
    EventSplitter,
)
from kingcuphead.forwarding._messages import AnswerHead
from kingcuphead.forwarding._stream import AttemptStream

#: Why the events of an attempt are dropped after the first event of another one.
OTHER_ATTEMPT = "another attempt sends the stream"


class EventTransfer:
    """Checks the events of an answer and sends them on as they are received.

    Parameters
    ----------
    head
        Head of the answer.
    stream
        Part of the attempt in the stream to the caller.
    """

    def __init__(self, head: AnswerHead, stream: AttemptStream) -> None:
        self._head = head
        self._stream = stream
        self._splitter = EventSplitter()
        # Comments ahead of the first event. They prove nothing about the answer, so
        # they don't begin the stream to the caller.
        self._held: list[Event] = []
        self._held_bytes = 0
        #: Why the answer can't be sent on; None while it can.
        self.fault: str | None = None

    @property
    def has_partial_event(self) -> bool:
        """Whether the last event is incomplete, or comments still wait for one."""
        return self._splitter.has_partial_event or bool(self._held)

    def consume(self, block: bytes) -> bool:
        """Send the events that are now complete, in one write.

        Returns
        -------
        bool
            Whether more events can be sent now; false after a fault, and while the
            caller does not read.
        """
        events = self._splitter.feed(block)
        count = self._stream.count_next(events)
        if count and not self._deliver(events[:count]):
            self.fault = OTHER_ATTEMPT
        elif count < len(events):
            self.fault = _describe_fault(events[count])
        elif self._splitter.is_oversized or self._held_bytes > MAX_EVENT_BYTES:
            self.fault = f"an event is larger than {MAX_EVENT_BYTES} bytes"
        return self.fault is None and not self._stream.is_congested

    def _deliver(self, events: Sequence[Event]) -> bool:
        """Send events, and comments once there is an event; false if it has lost."""
        if self._stream.has_events:
            return self._stream.deliver(self._head, events)
        if all(event.kind is EventKind.COMMENT for event in events):
            self._held += events
            self._held_bytes += sum(len(event.content) for event in events)
            return True
        held, self._held, self._held_bytes = self._held, [], 0
        return self._stream.deliver(self._head, [*held, *events])


def _describe_fault(event: Event) -> str:
    if event.kind is EventKind.FOREIGN:
        return f"the stream holds what is {event.kind.value}"
    return "an event id is not in sequence"
