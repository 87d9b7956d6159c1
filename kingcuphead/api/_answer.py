"""Streamed answers of engines: events to forward, usage and completeness."""

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
    has_only_fields,
    read_payload,
)
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Size limit of an incomplete event that is buffered, in bytes.
MAX_EVENT_BYTES = 1024 * 1024
#: Size limit of all withheld events of an answer, in bytes.
MAX_TAIL_BYTES = 2 * 1024 * 1024

_DONE_PAYLOAD = b"[DONE]"
_FINISH_REASON_KEY = b'"finish_reason"'
_NULL_FINISH_REASONS = (b'"finish_reason":null', b'"finish_reason": null')
_JSON_END = b"}" + EVENT_END
_CHOICES_KEY = b'"choices"'


class Usage(msgspec.Struct, frozen=True):
    """Token counts reported by the engine."""

    #: Tokens in the prompt.
    prompt_tokens: int
    #: Tokens generated so far.
    completion_tokens: int = 0

    @property
    def total(self) -> int:
        """Tokens that the request is billed for."""
        return self.prompt_tokens + self.completion_tokens


class AnswerChoice(msgspec.Struct, frozen=True):
    """The fields of a choice that show whether its text has ended."""

    #: Why generation ended; None while it continues.
    finish_reason: str | None = None


class AnswerEvent(msgspec.Struct, frozen=True):
    """The fields of a streamed event that the daemon uses."""

    #: Choices; empty in the event that contains only the usage.
    choices: list[AnswerChoice] = []
    #: Token counts up to this event; None if the event has none.
    usage: Usage | None = None
    #: Error that the engine reported within the stream.
    error: dict[str, Any] | str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of a complete answer, which is forwarded once its bill is durable."""

    #: The withheld events, including `[DONE]`.
    tail: bytes
    #: Token counts of the complete answer.
    usage: Usage
    #: Why generation ended, for example "stop" or "length".
    finish_reason: str


class _Phase(enum.Enum):
    TEXT = enum.auto()
    TAIL = enum.auto()
    DONE = enum.auto()
    FAILED = enum.auto()


_EVENT_DECODER = msgspec.json.Decoder(AnswerEvent)


class AnswerStream:
    """Processes one streamed answer from the engine.

    Text events are forwarded immediately. The event with the finish reason and all
    later events are withheld, so that no caller has a complete answer before its
    bill is durable: committed, or also on a daemon of another zone. An answer is
    complete only with its finish reason, its usage and `[DONE]`.

    Parameters
    ----------
    include_usage : bool
        Whether the caller requested the event that contains only the usage.
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
        """Process bytes from the engine and return those to forward now.

        The result consists of complete events; it is empty if there are none.
        """
        if self._phase is _Phase.FAILED:
            return b""
        try:
            block = self._splitter.split(chunk)
        except OversizedEventError as error:
            return self._fail(str(error))
        if not block:
            return b""
        if self._phase is _Phase.TEXT and _has_only_text_events(block):
            self._last_block = block
            return block
        return self._process_block(block)

    def finish(self) -> Outcome[AnswerEnd]:
        """Check whether the answer is complete after the engine's stream has ended.

        Returns
        -------
        Outcome[AnswerEnd]
            The end of the answer, or a verdict with `TRUNCATED` and `MAY_HAVE_RUN`.
        """
        fault = self._find_fault()
        if fault or self._usage is None or self._finish_reason is None:
            return Error(
                Verdict(Execution.MAY_HAVE_RUN, Reason.TRUNCATED, f"answer {fault}")
            )
        tail = b"".join(self._tail)
        return Ok(AnswerEnd(tail, self._usage, self._finish_reason))

    def read_usage(self) -> Usage | None:
        """Return the latest usage that the engine reported; None if there is none."""
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

    def _process_block(self, block: bytes) -> bytes:
        """Process a block event by event; return the events to forward now."""
        forwarded = []
        for event in block.split(EVENT_END):
            if event and self._process_event(event):
                forwarded.append(event + EVENT_END)
        if forwarded:
            self._last_block = b"".join(forwarded)
        return b"".join(forwarded)

    def _process_event(self, event: bytes) -> bool:
        """Process one event; return whether it may be forwarded now."""
        payload = read_payload(event)
        if self._phase is _Phase.TEXT and not has_only_fields(event):
            self._fail("held lines that are not fields")
        match self._phase:
            case _Phase.FAILED | _Phase.DONE:
                return False
            case _ if payload is None:
                return self._phase is _Phase.TEXT
            case _ if payload == _DONE_PAYLOAD:
                self._phase = _Phase.DONE
                self._withhold(DONE_EVENT)
                return False
            case _:
                return self._process_answer_event(event, payload)

    def _process_answer_event(self, event: bytes, payload: bytes) -> bool:
        decoded = _decode_event(payload)
        if decoded is None:
            self._fail("held a malformed event")
            return False
        if decoded.error is not None:
            self._fail("ended with an error of the engine")
            return False
        self._usage = decoded.usage or self._usage
        if self._phase is _Phase.TEXT and not _has_finish_reason(decoded):
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


def _has_only_text_events(block: bytes) -> bool:
    """Check, without decoding, that a block needs no processing event by event.

    A block with a finish reason, an error, a comment or `[DONE]` fails the check:
    each event must have `choices`, and each `finish_reason` must be null. JSON
    escapes quotation marks in strings, so text can't contain the searched bytes. A
    block with lines other than the events' JSON, for example an error, fails, too.
    """
    events = block.count(EVENT_END)
    if block.count(_CHOICES_KEY) != events or block.count(_JSON_END) != events:
        return False
    if block.count(b"\n") != events * len(EVENT_END):
        return False
    unfinished = block.count(_NULL_FINISH_REASONS[0]) + block.count(
        _NULL_FINISH_REASONS[1]
    )
    return block.count(_FINISH_REASON_KEY) == unfinished


def _has_finish_reason(event: AnswerEvent) -> bool:
    return any(choice.finish_reason is not None for choice in event.choices)


def _decode_event(payload: bytes) -> AnswerEvent | None:
    try:
        return _EVENT_DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
