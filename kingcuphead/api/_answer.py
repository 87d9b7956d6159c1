"""The stream of an answer: what may be passed on, and whether it is whole."""

import dataclasses
import enum
from typing import Any

import msgspec
from expression import Error, Ok

from kingcuphead.api._events import (
    DONE_EVENT,
    EVENT_END,
    EventSplitter,
    OversizedEventError,
    read_payload,
)
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Largest event that a target may send, in bytes.
MAX_EVENT_BYTES = 1024 * 1024
#: Most bytes between the event that ends the text and the end of the stream.
MAX_TAIL_BYTES = 2 * 1024 * 1024

_DONE = b"[DONE]"
_FINISH = b'"finish_reason"'
_UNFINISHED = (b'"finish_reason":null', b'"finish_reason": null')
_CHOICES = b'"choices"'


class Usage(msgspec.Struct, frozen=True):
    """Tokens that the engine counted."""

    #: Tokens of the prompt.
    prompt_tokens: int
    #: Tokens generated so far.
    completion_tokens: int = 0

    @property
    def total(self) -> int:
        """The tokens that are billed."""
        return self.prompt_tokens + self.completion_tokens


class AnswerChoice(msgspec.Struct, frozen=True):
    """The part of a choice that tells whether it has ended."""

    #: Why the text ended; None while it goes on.
    finish_reason: str | None = None


class AnswerEvent(msgspec.Struct, frozen=True):
    """The parts of a streamed event that the daemon reads."""

    #: The choices; empty in the event that carries only the usage.
    choices: list[AnswerChoice] = []
    #: Usage up to this event.
    usage: Usage | None = None
    #: Error that the engine met in mid-stream.
    error: dict[str, Any] | str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of a whole answer, to be passed on once its bill is safe."""

    #: The withheld events, `[DONE]` included.
    tail: bytes
    #: Usage of the whole answer.
    usage: Usage
    #: Why the text ended, for example "stop" or "length".
    finish_reason: str


class _Phase(enum.Enum):
    TEXT = enum.auto()
    TAIL = enum.auto()
    DONE = enum.auto()
    FAILED = enum.auto()


_EVENT_DECODER = msgspec.json.Decoder(AnswerEvent)


class AnswerStream:
    """Follows one streamed answer from the engine.

    Events of text pass at once; everything from the event with the finish reason
    on is withheld, so that no caller holds a whole answer before its bill is safe.
    An answer is whole only with its finish reason, its usage and `[DONE]`.

    Parameters
    ----------
    include_usage : bool
        Whether the caller asked for the event that carries only the usage.
    """

    def __init__(self, *, include_usage: bool) -> None:
        self._include_usage = include_usage
        self._splitter = EventSplitter(MAX_EVENT_BYTES)
        self._phase = _Phase.TEXT
        self._last_block = b""
        self._tail: list[bytes] = []
        self._tail_bytes = 0
        self._usage: Usage | None = None
        self._finish_reason: str | None = None
        self._fault = ""

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes from the engine and return those that may be passed on now.

        The result ends at the end of an event; it is empty if nothing is ready.
        """
        if self._phase is _Phase.FAILED:
            return b""
        try:
            block = self._splitter.split(chunk)
        except OversizedEventError as error:
            return self._fail(str(error))
        if not block:
            return b""
        if self._phase is _Phase.TEXT and _is_plain_text(block):
            self._last_block = block
            return block
        return self._read_block(block)

    def finish(self) -> Outcome[AnswerEnd]:
        """Judge the answer once the engine's stream has ended.

        Returns
        -------
        Outcome[AnswerEnd]
            What completes the answer, or `TRUNCATED` and *may have run*.
        """
        fault = self._find_fault()
        if fault or self._usage is None or self._finish_reason is None:
            return Error(
                Verdict(Execution.MAY_HAVE_RUN, Reason.TRUNCATED, f"answer {fault}")
            )
        tail = b"".join(self._tail)
        return Ok(AnswerEnd(tail, self._usage, self._finish_reason))

    def read_usage(self) -> Usage | None:
        """Return the last usage that the engine reported; None if there is none."""
        if self._usage is not None:
            return self._usage
        usage = None
        for event in self._last_block.split(EVENT_END):
            decoded = _decode_event(read_payload(event) or b"")
            usage = decoded.usage if decoded and decoded.usage else usage
        return usage

    def _find_fault(self) -> str:
        if self._phase is _Phase.FAILED:
            return self._fault
        if self._finish_reason is None:
            return "ended without a finish reason"
        if self._usage is None:
            return "ended without its usage"
        if self._phase is not _Phase.DONE:
            return "ended without [DONE]"
        return ""

    def _read_block(self, block: bytes) -> bytes:
        """Read a block event by event; return the events before the end."""
        passed = []
        for event in block.split(EVENT_END):
            if event and self._read_event(event):
                passed.append(event + EVENT_END)
        if passed:
            self._last_block = b"".join(passed)
        return b"".join(passed)

    def _read_event(self, event: bytes) -> bool:
        """Take one event; return whether it may be passed on now."""
        payload = read_payload(event)
        match self._phase:
            case _Phase.FAILED | _Phase.DONE:
                return False
            case _ if payload is None:
                return self._phase is _Phase.TEXT
            case _ if payload == _DONE:
                self._phase = _Phase.DONE
                self._withhold(DONE_EVENT)
                return False
            case _:
                return self._read_answer_event(event, payload)

    def _read_answer_event(self, event: bytes, payload: bytes) -> bool:
        decoded = _decode_event(payload)
        if decoded is None:
            self._fail("held a malformed event")
            return False
        if decoded.error is not None:
            self._fail("ended with an error of the engine")
            return False
        self._usage = decoded.usage or self._usage
        if self._phase is _Phase.TEXT and not _is_finished(decoded):
            return True
        self._phase = _Phase.TAIL
        for choice in decoded.choices:
            self._finish_reason = choice.finish_reason or self._finish_reason
        if decoded.choices or self._include_usage:
            self._withhold(event + EVENT_END)
        return False

    def _withhold(self, event: bytes) -> None:
        self._tail_bytes += len(event)
        if self._tail_bytes > MAX_TAIL_BYTES:
            self._fail("has more events after its end than allowed")
            return
        self._tail.append(event)

    def _fail(self, fault: str) -> bytes:
        self._phase = _Phase.FAILED
        self._fault = fault
        self._tail.clear()
        return b""


def _is_plain_text(block: bytes) -> bool:
    """Tell cheaply that a block holds neither an end, nor an error, nor a comment.

    Inside JSON strings a quotation mark is escaped, so the searched bytes can't
    occur in the text of an answer.
    """
    if block.count(_CHOICES) != block.count(EVENT_END):
        return False
    unfinished = block.count(_UNFINISHED[0]) + block.count(_UNFINISHED[1])
    return block.count(_FINISH) == unfinished


def _is_finished(event: AnswerEvent) -> bool:
    return any(choice.finish_reason is not None for choice in event.choices)


def _decode_event(payload: bytes) -> AnswerEvent | None:
    try:
        return _EVENT_DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
