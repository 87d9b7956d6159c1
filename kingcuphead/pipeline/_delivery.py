"""Filter: the answer's way to the caller, streamed or in one body."""

from collections.abc import Mapping
from typing import Protocol

from expression import Error, Ok, Result

from kingcuphead.api import (
    AnswerEnd,
    Usage,
    assemble_answer,
    encode_error_event,
    iterate_payloads,
)
from kingcuphead.claims import RecordedAnswer
from kingcuphead.pipeline._ports import Caller
from kingcuphead.verdict import Outcome, Verdict

#: Media type of a streamed answer.
EVENT_STREAM = "text/event-stream"
_DONE_PAYLOAD = b"[DONE]"


class Delivery(Protocol):
    """How one caller gets its answer."""

    @property
    def begun(self) -> bool:
        """Whether the caller has got a part of the answer."""
        ...

    async def deliver(self, block: bytes) -> None:
        """Take events that may be passed on now."""
        ...

    async def complete(self, end: AnswerEnd) -> Verdict | None:
        """Pass on the end of a whole answer whose bill is safe."""
        ...

    async def break_off(self, verdict: Verdict) -> None:
        """Tell a caller that has got a part of the answer how it ended."""
        ...

    def reset(self) -> None:
        """Forget the events of an attempt that failed."""
        ...


class StreamedDelivery:
    """Passes events on as they come.

    Parameters
    ----------
    caller
        The caller.
    request_id
        Echoed in the headers.
    """

    def __init__(self, caller: Caller, request_id: str) -> None:
        self._caller = caller
        self._request_id = request_id
        #: Whether the caller has got a part of the answer.
        self.begun = False

    def reset(self) -> None:
        """Nothing is kept here."""

    async def deliver(self, block: bytes) -> None:
        """Take events that may be passed on now."""
        if not self.begun:
            self.begun = True
            await self._caller.start(200, self._make_headers())
        await self._caller.write(block)

    async def complete(self, end: AnswerEnd) -> Verdict | None:
        """Pass on the end of a whole answer whose bill is safe."""
        await self.deliver(end.tail)
        await self._caller.finish()
        return None

    async def break_off(self, verdict: Verdict) -> None:
        """Tell a caller that has got a part of the answer how it ended."""
        await self._caller.write(encode_error_event(verdict, self._request_id))
        await self._caller.finish()

    def _make_headers(self) -> Mapping[str, str]:
        return {
            "Content-Type": EVENT_STREAM,
            "Cache-Control": "no-store",
            "X-Request-Id": self._request_id,
        }


class AssembledDelivery:
    """Keeps the events and passes one body on.

    Parameters
    ----------
    caller
        The caller.
    request_id
        Echoed in the headers.
    """

    def __init__(self, caller: Caller, request_id: str) -> None:
        self._caller = caller
        self._request_id = request_id
        self._blocks: list[bytes] = []
        #: Whether the caller has got a part of the answer.
        self.begun = False

    def reset(self) -> None:
        """Forget the events of an attempt that failed."""
        self._blocks.clear()

    async def deliver(self, block: bytes) -> None:
        """Take events that may be passed on now."""
        self._blocks.append(block)

    async def complete(self, end: AnswerEnd) -> Verdict | None:
        """Pass on the body of a whole answer whose bill is safe."""
        self._blocks.append(end.tail)
        payloads = (
            payload
            for payload in iterate_payloads(b"".join(self._blocks))
            if payload != _DONE_PAYLOAD
        )
        match assemble_answer(payloads):
            case Result(tag="ok", ok=body):
                await self._send(body)
                return None
            case Result(error=verdict):
                return verdict

    async def break_off(self, verdict: Verdict) -> None:
        """Never happens: the caller gets nothing before the whole answer."""
        raise AssertionError(f"an unstreamed answer was broken off: {verdict.message}")

    async def _send(self, body: bytes) -> None:
        self.begun = True
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "X-Request-Id": self._request_id,
        }
        await self._caller.start(200, headers)
        await self._caller.write(body)
        await self._caller.finish()


class RecordingDelivery:
    """Passes events on and keeps them for a second try of the same call.

    Parameters
    ----------
    inner
        The way to the caller.
    """

    def __init__(self, inner: Delivery) -> None:
        self._inner = inner
        self._events: list[bytes] = []
        #: Whether an attempt delivered anything.
        self.used = False

    @property
    def begun(self) -> bool:
        """Whether the caller has got a part of the answer."""
        return self._inner.begun

    def reset(self) -> None:
        """Forget the events of an attempt that failed."""
        self._events.clear()
        self._inner.reset()

    async def deliver(self, block: bytes) -> None:
        """Take events that may be passed on now."""
        self.used = True
        self._events.append(block)
        await self._inner.deliver(block)

    async def complete(self, end: AnswerEnd) -> Verdict | None:
        """Pass on the end of a whole answer whose bill is safe."""
        self.used = True
        self._events.append(end.tail)
        return await self._inner.complete(end)

    async def break_off(self, verdict: Verdict) -> None:
        """Tell a caller that has got a part of the answer how it ended."""
        await self._inner.break_off(verdict)

    def make_answer(self) -> RecordedAnswer:
        """Return the events as the answer to record."""
        headers = (("Content-Type", EVENT_STREAM),)
        return RecordedAnswer(200, headers, b"".join(self._events))


async def replay_events(answer: RecordedAnswer, delivery: Delivery) -> Outcome[None]:
    """Pass on the recorded events of an earlier try of the same call."""
    end = AnswerEnd(answer.body or b"", Usage(0), "stop")
    verdict = await delivery.complete(end)
    return Ok(None) if verdict is None else Error(verdict)
