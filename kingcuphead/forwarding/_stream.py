"""The event stream sent to one caller, across all attempts of its request."""

from collections.abc import Callable, Sequence

from kingcuphead.forwarding._clock import get_time
from kingcuphead.forwarding._events import Event
from kingcuphead.forwarding._messages import AnswerHead
from kingcuphead.forwarding._ports import Caller


class AnswerStream:
    """Sends complete events to a caller and tracks the id of the last one.

    The caller receives the head of the first target that delivers an event.

    Parameters
    ----------
    caller
        Connection on which the events are sent.
    resume_after
        Id of the last event that the caller already has; 0 for none.
    """

    def __init__(self, caller: Caller, resume_after: int) -> None:
        self._caller = caller
        self._last_event_id = resume_after
        #: Whether the status and the headers were sent to the caller.
        self.is_started = False
        #: Time in seconds at which the head was sent, just before the first event.
        self.started_at = 0.0
        #: Number of events sent to the caller.
        self.event_count = 0
        self._attempt_started_at: float | None = None
        self._report_start: Callable[[], None] = _report_nothing

    @property
    def last_event_id(self) -> int:
        """Id of the last event that the caller has."""
        return self._last_event_id

    @property
    def is_congested(self) -> bool:
        """Whether the caller has to read before more is sent."""
        return self._caller.is_congested

    @property
    def has_attempt_events(self) -> bool:
        """Whether the current attempt has brought an event."""
        return self._attempt_started_at is not None

    def begin_attempt(self, report_start: Callable[[], None]) -> None:
        """Note that the next event is the first one of another attempt.

        Parameters
        ----------
        report_start
            Called before that event is sent to the caller.
        """
        self._attempt_started_at = None
        self._report_start = report_start

    def get_running_seconds(self) -> float | None:
        """Return the seconds since the first event of the attempt; None without one."""
        if self._attempt_started_at is None:
            return None
        return get_time() - self._attempt_started_at

    def count_next(self, events: Sequence[Event]) -> int:
        """Return how many of the events directly follow the last one and each other.

        An event without id follows any other.
        """
        last = self._last_event_id
        for index, event in enumerate(events):
            if event.event_id is None:
                continue
            if event.event_id != last + 1:
                return index
            last = event.event_id
        return len(events)

    def deliver(self, head: AnswerHead, events: Sequence[Event]) -> None:
        """Send events to the caller at once, and before the first event the head."""
        if self._attempt_started_at is None:
            self._attempt_started_at = get_time()
            self._report_start()
        self._start(head)
        for event in events:
            if event.event_id is not None:
                self._last_event_id = event.event_id
        self.event_count += len(events)
        self._caller.send(b"".join([event.content for event in events]))

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was sent."""
        await self._caller.drain()

    def finish(self, head: AnswerHead) -> None:
        """End the stream as complete."""
        self._start(head)
        self._caller.finish()

    def _start(self, head: AnswerHead) -> None:
        if not self.is_started:
            self.is_started = True
            self.started_at = get_time()
            self._caller.start(head.status, head.headers)


def _report_nothing() -> None:
    """Do nothing, before the first attempt."""
