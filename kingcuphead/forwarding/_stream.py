"""The stream that one caller gets, over all attempts of its request."""

import asyncio

from kingcuphead.forwarding._events import Event
from kingcuphead.forwarding._messages import AnswerHead
from kingcuphead.forwarding._ports import Caller


class AnswerStream:
    """Passes whole events on and knows where the stream can go on.

    The caller gets the head of the first target that delivered an event.

    Parameters
    ----------
    caller
        Who gets the events.
    resume_after
        Number of the last event that the caller has already; 0 for none.
    """

    def __init__(self, caller: Caller, resume_after: int) -> None:
        self._caller = caller
        self._last_number = resume_after
        self.is_started = False
        #: Time in seconds at which the first event was passed on.
        self.started_at = 0.0
        #: Events that were passed on.
        self.events = 0

    @property
    def last_number(self) -> int:
        """Number of the last event that the caller has."""
        return self._last_number

    def fits(self, event: Event) -> bool:
        """Return whether an event comes right after the last one."""
        return event.number is None or event.number == self._last_number + 1

    async def deliver(self, head: AnswerHead, event: Event) -> None:
        """Pass an event on."""
        await self._start(head)
        if event.number is not None:
            self._last_number = event.number
        self.events += 1
        await self._caller.write(event.content)

    async def finish(self, head: AnswerHead) -> None:
        """End the stream as complete."""
        await self._start(head)
        self._caller.finish()

    async def _start(self, head: AnswerHead) -> None:
        if not self.is_started:
            self.is_started = True
            self.started_at = asyncio.get_running_loop().time()
            await self._caller.start(head.status, head.headers)
