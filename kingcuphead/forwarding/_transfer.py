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
        # Comments ahead of the first event, kept until it arrives: an answer with only
        # comments must not begin the stream to the caller.
        self._early_comments: list[Event] = []
        self._early_comment_bytes = 0
        #: Why the answer can't be sent on; None while it can.
        self.fault: str | None = None

    @property
    def has_partial_event(self) -> bool:
        """Whether the last event is incomplete, or comments still wait for one."""
        return self._splitter.has_partial_event or bool(self._early_comments)

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
        elif self._splitter.is_oversized or self._early_comment_bytes > MAX_EVENT_BYTES:
            self.fault = f"an event is larger than {MAX_EVENT_BYTES} bytes"
        return self.fault is None and not self._stream.is_congested

    def _deliver(self, events: Sequence[Event]) -> bool:
        """Send events, and comments once there is an event.

        Return false if another attempt sends the stream.
        """
        if self._stream.has_events:
            return self._stream.deliver(self._head, events)
        if all(event.kind is EventKind.COMMENT for event in events):
            self._early_comments += events
            self._early_comment_bytes += sum(len(event.content) for event in events)
            return True
        comments, self._early_comments = self._early_comments, []
        self._early_comment_bytes = 0
        return self._stream.deliver(self._head, [*comments, *events])


def _describe_fault(event: Event) -> str:
    if event.kind is EventKind.INVALID:
        return "the stream contains data that is not a valid event"
    return "an event id is not in sequence"
