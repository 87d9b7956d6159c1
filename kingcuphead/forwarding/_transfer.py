"""Passes the events of one target's answer on to the caller's stream."""

from kingcuphead.forwarding._events import MAX_EVENT_BYTES, EventSplitter
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
        #: Why the answer can't be sent on; None while it can.
        self.fault: str | None = None

    @property
    def has_partial_event(self) -> bool:
        """Whether the last event is incomplete."""
        return self._splitter.has_partial_event

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
        if count and not self._stream.deliver(self._head, events[:count]):
            self.fault = OTHER_ATTEMPT
        elif count < len(events):
            self.fault = "an event id is not in sequence"
        elif self._splitter.is_oversized:
            self.fault = f"an event is larger than {MAX_EVENT_BYTES} bytes"
        return self.fault is None and not self._stream.is_congested
