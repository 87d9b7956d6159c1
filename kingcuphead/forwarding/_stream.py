"""The event stream sent to one caller, across all attempts of its request."""

from collections.abc import Awaitable, Callable, Sequence

from kingcuphead.forwarding._events import Event, EventKind
from kingcuphead.forwarding._messages import AnswerHead
from kingcuphead.forwarding._ports import Caller
from kingcuphead.timing import get_time


class AnswerStream:
    """Sends complete events to a caller and tracks the id of the last one.

    The caller receives the head of the first target that delivers an event. Of attempts
    that run at the same time, the first one with an event becomes the sender; nothing
    is taken of the others any more, so that events of two runs are never combined.

    Parameters
    ----------
    caller
        Connection on which the events are sent.
    resume_after
        Id of the last event that the caller already has; 0 for none.
    prepare
        Awaited before the first event is sent, for the credit that it costs.
    """

    def __init__(
        self,
        caller: Caller,
        resume_after: int,
        prepare: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._caller = caller
        self._prepare = prepare
        self._last_event_id = resume_after
        #: Whether the status and the headers were sent to the caller.
        self.is_started = False
        #: Time in seconds at which the head was sent, just before the first event.
        self.started_at = 0.0
        #: Number of events sent to the caller.
        self.event_count = 0
        self._open_attempts: set[AttemptStream] = set()
        self._sender: AttemptStream | None = None

    @property
    def last_event_id(self) -> int:
        """Id of the last event that the caller has."""
        return self._last_event_id

    @property
    def has_begun(self) -> bool:
        """Whether the caller has events, be it from an earlier try."""
        return self.is_started or self._last_event_id > 0

    @property
    def is_congested(self) -> bool:
        """Whether the caller has to read before more is sent."""
        return self._caller.is_congested

    def begin_attempt(self, report_start: Callable[[], None]) -> "AttemptStream":
        """Return the part of an attempt in the stream, which is open until its end.

        Parameters
        ----------
        report_start
            Called before the first event of the attempt is sent to the caller.
        """
        attempt = AttemptStream(self, report_start)
        self._open_attempts.add(attempt)
        return attempt

    def close_attempts(self) -> None:
        """Take no more events of the attempts that are open."""
        self._open_attempts.clear()
        self._sender = None

    def close_attempt(self, attempt: "AttemptStream") -> None:
        """Take no more events of an attempt."""
        self._open_attempts.discard(attempt)
        if self._sender is attempt:
            self._sender = None

    def claim(self, attempt: "AttemptStream") -> bool:
        """Make an open attempt the sender and close the others.

        Returns
        -------
        bool
            Whether it is the sender; false if it is closed, or while there is another.
        """
        if self._sender is None and attempt in self._open_attempts:
            self._sender = attempt
            self._open_attempts = {attempt}
        return self._sender is attempt

    def count_next(self, events: Sequence[Event]) -> int:
        """Return how many of the events directly follow the last one and each other.

        Comments may follow any event. Data without an id is rejected, because an error
        that a target writes into a stream would reach the caller as a part of it.
        """
        last = self._last_event_id
        for index, event in enumerate(events):
            if event.kind is EventKind.COMMENT:
                continue
            if event.kind is EventKind.INVALID or event.event_id != last + 1:
                return index
            last += 1
        return len(events)

    def send(self, head: AnswerHead, events: Sequence[Event]) -> None:
        """Send events to the caller at once, and before the first event the head."""
        self._start(head)
        for event in events:
            if event.event_id is not None:
                self._last_event_id = event.event_id
                self.event_count += 1
        self._caller.send(b"".join([event.content for event in events]))

    async def prepare(self) -> None:
        """Wait until the first event may be sent."""
        if self._prepare is not None and not self.is_started:
            await self._prepare()

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


class AttemptStream:
    """What one attempt adds to the stream of its caller.

    Parameters
    ----------
    stream
        Stream to the caller.
    report_start
        Called before the first event of the attempt is sent to the caller.
    """

    def __init__(self, stream: AnswerStream, report_start: Callable[[], None]) -> None:
        self._stream = stream
        self._report_start = report_start
        self._started_at: float | None = None

    @property
    def is_congested(self) -> bool:
        """Whether the caller has to read before more is sent."""
        return self._stream.is_congested

    @property
    def has_events(self) -> bool:
        """Whether an event of the attempt was sent."""
        return self._started_at is not None

    @property
    def is_empty_continuation(self) -> bool:
        """Whether the caller got events in this answer, but none of this attempt."""
        return self._stream.is_started and not self.has_events

    def get_running_seconds(self) -> float | None:
        """Return the seconds since the first event of the attempt; None without one."""
        if self._started_at is None:
            return None
        return get_time() - self._started_at

    async def prepare(self) -> None:
        """Wait until the first event may be sent."""
        await self._stream.prepare()

    def count_next(self, events: Sequence[Event]) -> int:
        """Return how many of the events directly follow the last one and each other."""
        return self._stream.count_next(events)

    def deliver(self, head: AnswerHead, events: Sequence[Event]) -> bool:
        """Send events to the caller at once; return false if another attempt has."""
        if not self._stream.claim(self):
            return False
        if self._started_at is None:
            self._started_at = get_time()
            self._report_start()
        self._stream.send(head, events)
        return True

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was sent."""
        await self._stream.drain()

    def finish(self, head: AnswerHead) -> bool:
        """End the stream as complete; return false if another attempt has events."""
        if not self._stream.claim(self):
            return False
        self._stream.finish(head)
        return True

    def close(self) -> None:
        """Send nothing more, at the end of the attempt."""
        self._stream.close_attempt(self)
