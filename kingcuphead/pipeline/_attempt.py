"""Attempt stage: runs a chat request once on one target."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from expression import Result

from kingcuphead.api import AnswerEnd, AnswerStream, Usage
from kingcuphead.pipeline._stages import Admitted, ChatWork, Placed
from kingcuphead.placement import AnswerResult
from kingcuphead.relay import Relay, RelayRequest, RelayStream, Timeouts
from kingcuphead.verdict import Execution, Reason, Verdict

#: Statuses with which a target refuses a request, temporarily and without running it.
_REFUSING_STATUSES = frozenset({429, 503})
#: Path of the engines' chat API.
_CHAT_PATH = "/v1/chat/completions"
#: Header with the organisation's name in requests to targets.
ORGANISATION_HEADER = "X-Organisation"

Deliver: TypeAlias = Callable[[bytes], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """The target responded completely; the end of the response is still withheld."""

    #: Withheld events that complete the response, and its usage.
    end: AnswerEnd


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """The attempt ended without a complete response."""

    #: Whether the request may have run, and the cause of the failure.
    verdict: Verdict
    #: Result for the scheduler and the health of the target.
    result: AnswerResult
    #: Last usage that the target reported; None if it reported none.
    usage: Usage | None = None


AttemptEnd: TypeAlias = CompleteResponse | FailedAttempt


def classify_failure(verdict: Verdict) -> AnswerResult:
    """Return the result of a failed transfer for the scheduler."""
    match verdict:
        case Verdict(execution=Execution.NOT_RUN):
            return AnswerResult.UNREACHABLE
        case Verdict(reason=Reason.CALLER_GONE):
            return AnswerResult.CANCELLED
        case Verdict(reason=Reason.TARGET_TIMED_OUT):
            return AnswerResult.TIMED_OUT
        case _:
            return AnswerResult.DIED


def classify_status(status: int) -> FailedAttempt | None:
    """Return the failure that a response status indicates; None for success."""
    if status < 300:
        return None
    detail = f"the target answered with status {status}"
    if status in _REFUSING_STATUSES:
        verdict = Verdict(Execution.NOT_RUN, Reason.TARGET_REFUSED, detail)
        return FailedAttempt(verdict, AnswerResult.REFUSED)
    if status < 500:
        # The engine rejected the request as invalid, as any other target would.
        verdict = Verdict(Execution.NOT_RUN, Reason.INVALID_REQUEST, detail)
        return FailedAttempt(verdict, AnswerResult.WHOLE)
    verdict = Verdict(Execution.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)
    return FailedAttempt(verdict, AnswerResult.REFUSED)


class ChatAttempt:
    """Sends a chat request to a target and reads the response.

    Parameters
    ----------
    relay
        HTTP client for targets.
    admitted
        The request.
    work
        Chat work of the request.
    timeouts
        Timeouts of the request to the target.
    """

    def __init__(
        self, relay: Relay, admitted: Admitted, work: ChatWork, timeouts: Timeouts
    ) -> None:
        self._relay = relay
        self._admitted = admitted
        self._work = work
        self._timeouts = timeouts
        self._response = AnswerStream(include_usage=work.chat.include_usage)
        #: Whether the target may have run the request.
        self.may_have_run = False

    @property
    def usage(self) -> Usage | None:
        """Last usage that the target has reported; None if it has reported none."""
        return self._response.read_usage()

    async def run(self, placed: Placed, deliver: Deliver) -> AttemptEnd:
        """Run the request on a target.

        Parameters
        ----------
        placed
            The target.
        deliver
            Called with each block of events that may be forwarded.
        """
        self.may_have_run = True
        opened = await self._relay.open(self._build_request(placed))
        match opened:
            case Result(tag="ok", ok=stream):
                try:
                    return await self._read_response(stream, deliver)
                finally:
                    stream.close()
            case Result(error=verdict):
                self.may_have_run = verdict.execution is not Execution.NOT_RUN
                return FailedAttempt(verdict, classify_failure(verdict))

    async def _read_response(self, stream: RelayStream, deliver: Deliver) -> AttemptEnd:
        failure = classify_status(stream.head.status)
        if failure is not None:
            self.may_have_run = failure.verdict.execution is not Execution.NOT_RUN
            return failure
        async for chunk in stream:
            block = self._response.feed(chunk)
            if block:
                await deliver(block)
        return self._build_result(stream)

    def _build_result(self, stream: RelayStream) -> AttemptEnd:
        match self._response.finish():
            case Result(tag="ok", ok=end):
                return CompleteResponse(end)
            case Result(error=verdict):
                cause = stream.verdict or verdict
                return FailedAttempt(cause, classify_failure(cause), self.usage)

    def _build_request(self, placed: Placed) -> RelayRequest:
        received = self._admitted.received
        body = self._work.chat.encode_engine_body(
            max_tokens=self._work.max_tokens, priority=placed.priority
        )
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": received.request_id,
            ORGANISATION_HEADER: self._admitted.identified.organisation.name,
        }
        return RelayRequest(
            address=placed.address,
            method="POST",
            path=_CHAT_PATH,
            headers=headers,
            body=body,
            # If a reused connection breaks, libcurl resends the request by itself. If
            # the request crashes targets, that second crash would not be counted.
            idempotent=False,
            timeouts=self._timeouts,
        )
