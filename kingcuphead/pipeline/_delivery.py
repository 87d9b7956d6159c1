"""Delivery stage: sends the response to the caller, streamed or as one body."""

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

#: Media type of a streamed response.
EVENT_STREAM = "text/event-stream"
_DONE_PAYLOAD = b"[DONE]"


class Delivery(Protocol):
    """Sends the response to one request to its caller."""

    @property
    def has_started(self) -> bool:
        """Whether a part of the response was sent to the caller."""
        ...

    async def deliver(self, block: bytes) -> None:
        """Handle a block of events that may be forwarded now."""
        ...

    async def complete(self, end: AnswerEnd) -> Verdict | None:
        """Send the end of a complete response whose bill is durable."""
        ...

    async def abort(self, verdict: Verdict) -> None:
        """Send an error event and end the response, which has started."""
        ...

    def reset(self) -> None:
        """Discard the events of a failed attempt."""
        ...


class StreamedDelivery:
    """Sends events to the caller as they arrive from the target.

    Parameters
    ----------
    caller
        Connection to the caller.
    request_id
        Id that is returned in the headers.
    """

    def __init__(self, caller: Caller, request_id: str) -> None:
        self._caller = caller
        self._request_id = request_id
        #: Whether a part of the response was sent to the caller.
        self.has_started = False

    def reset(self) -> None:
        """Do nothing, as no events are buffered."""

    async def deliver(self, block: bytes) -> None:
        """Handle a block of events that may be forwarded now."""
        if not self.has_started:
            self.has_started = True
            await self._caller.start(200, self._make_headers())
        await self._caller.write(block)

    async def complete(self, end: AnswerEnd) -> Verdict | None:
        """Send the end of a complete response whose bill is durable."""
        await self.deliver(end.tail)
        await self._caller.finish()
        return None

    async def abort(self, verdict: Verdict) -> None:
        """Send an error event and end the response, which has started."""
        await self._caller.write(encode_error_event(verdict, self._request_id))
        await self._caller.finish()

    def _make_headers(self) -> Mapping[str, str]:
        return {
            "Content-Type": EVENT_STREAM,
            "Cache-Control": "no-store",
            "X-Request-Id": self._request_id,
        }


class AssembledDelivery:
    """Buffers the events and sends them to the caller as one body.

    Parameters
    ----------
    caller
        Connection to the caller.
    request_id
        Id that is returned in the headers.
    """

    def __init__(self, caller: Caller, request_id: str) -> None:
        self._caller = caller
        self._request_id = request_id
        self._blocks: list[bytes] = []
        #: Whether a part of the response was sent to the caller.
        self.has_started = False

    def reset(self) -> None:
        """Discard the events of a failed attempt."""
        self._blocks.clear()

    async def deliver(self, block: bytes) -> None:
        """Handle a block of events that may be forwarded now."""
        self._blocks.append(block)

    async def complete(self, end: AnswerEnd) -> Verdict | None:
        """Send the body of a complete response whose bill is durable."""
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

    async def abort(self, verdict: Verdict) -> None:
        """Raise an error: nothing is sent before the response is complete."""
        raise AssertionError(
            f"an unstreamed response can't be aborted: {verdict.message}"
        )

    async def _send(self, body: bytes) -> None:
        self.has_started = True
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "X-Request-Id": self._request_id,
        }
        await self._caller.start(200, headers)
        await self._caller.write(body)
        await self._caller.finish()


class RecordingDelivery:
    """Forwards events to another delivery and records them for replays.

    Parameters
    ----------
    inner
        Delivery that sends the events to the caller.
    """

    def __init__(self, inner: Delivery) -> None:
        self._inner = inner
        self._events: list[bytes] = []
        #: Whether an attempt delivered events; False if the response is a replay.
        self.has_delivered = False

    @property
    def has_started(self) -> bool:
        """Whether a part of the response was sent to the caller."""
        return self._inner.has_started

    def reset(self) -> None:
        """Discard the events of a failed attempt."""
        self._events.clear()
        self._inner.reset()

    async def deliver(self, block: bytes) -> None:
        """Handle a block of events that may be forwarded now."""
        self.has_delivered = True
        self._events.append(block)
        await self._inner.deliver(block)

    async def complete(self, end: AnswerEnd) -> Verdict | None:
        """Send the end of a complete response whose bill is durable."""
        self.has_delivered = True
        self._events.append(end.tail)
        return await self._inner.complete(end)

    async def abort(self, verdict: Verdict) -> None:
        """Send an error event and end the response, which has started."""
        await self._inner.abort(verdict)

    def build_recorded_answer(self) -> RecordedAnswer:
        """Return the recorded events as the response to store with the claim."""
        headers = (("Content-Type", EVENT_STREAM),)
        return RecordedAnswer(200, headers, b"".join(self._events))


async def replay_events(answer: RecordedAnswer, delivery: Delivery) -> Outcome[None]:
    """Send the recorded events of an earlier attempt at the same call."""
    end = AnswerEnd(answer.body or b"", Usage(0), "stop")
    verdict = await delivery.complete(end)
    return Ok(None) if verdict is None else Error(verdict)
