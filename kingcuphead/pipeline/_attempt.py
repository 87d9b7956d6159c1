"""Filter: one attempt of a chat request on one target."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from expression import Result

from kingcuphead.api import AnswerEnd, AnswerStream, Usage
from kingcuphead.pipeline._stages import Admitted, ChatWork, Placed
from kingcuphead.placement import AnswerResult
from kingcuphead.relay import Relay, RelayRequest, RelayStream, Timeouts
from kingcuphead.verdict import Execution, Reason, Verdict

#: Statuses by which a target says that it takes no work now and ran nothing.
_REFUSING_STATUSES = frozenset({429, 503})
#: Path of the chat API at the engines.
_CHAT_PATH = "/v1/chat/completions"
#: Header that names the organisation to the engine.
ORGANISATION_HEADER = "X-Organisation"

Deliver: TypeAlias = Callable[[bytes], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """The target gave a whole answer; its end is still withheld."""

    #: What completes the answer, and its usage.
    end: AnswerEnd


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """The target gave no whole answer."""

    #: Whether the request may have run, and why it failed.
    verdict: Verdict
    #: How the scheduler counts the failure.
    result: AnswerResult
    #: Usage as far as the target reported it.
    usage: Usage | None = None


AttemptEnd: TypeAlias = WholeAnswer | FailedAttempt


def judge_failure(verdict: Verdict) -> AnswerResult:
    """Return how the scheduler counts a failed transfer."""
    match verdict:
        case Verdict(execution=Execution.NOT_RUN):
            return AnswerResult.UNREACHABLE
        case Verdict(reason=Reason.CALLER_GONE):
            return AnswerResult.CANCELLED
        case Verdict(reason=Reason.TARGET_TIMED_OUT):
            return AnswerResult.TIMED_OUT
        case _:
            return AnswerResult.DIED


def judge_status(status: int) -> FailedAttempt | None:
    """Return the failure that a target's status means, None for success."""
    if status < 300:
        return None
    detail = f"the target answered with status {status}"
    if status in _REFUSING_STATUSES:
        verdict = Verdict(Execution.NOT_RUN, Reason.TARGET_REFUSED, detail)
        return FailedAttempt(verdict, AnswerResult.REFUSED)
    if status < 500:
        # The engine rejected the request itself: another target would as well.
        verdict = Verdict(Execution.NOT_RUN, Reason.INVALID_REQUEST, detail)
        return FailedAttempt(verdict, AnswerResult.WHOLE)
    verdict = Verdict(Execution.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)
    return FailedAttempt(verdict, AnswerResult.REFUSED)


class ChatAttempt:
    """Sends a chat request to a target and follows the answer.

    Parameters
    ----------
    relay
        The way to targets.
    admitted
        The request.
    work
        What is to be done.
    timeouts
        How long the target may stay silent.
    """

    def __init__(
        self, relay: Relay, admitted: Admitted, work: ChatWork, timeouts: Timeouts
    ) -> None:
        self._relay = relay
        self._admitted = admitted
        self._work = work
        self._timeouts = timeouts
        self._answer = AnswerStream(include_usage=work.chat.include_usage)
        #: Whether the request may have reached a target.
        self.sent = False

    @property
    def usage(self) -> Usage | None:
        """Usage as far as the target has reported it."""
        return self._answer.read_usage()

    async def run(self, placed: Placed, deliver: Deliver) -> AttemptEnd:
        """Run the request on a target.

        Parameters
        ----------
        placed
            The target.
        deliver
            Takes each block of events that may be passed on now.
        """
        self.sent = True
        opened = await self._relay.open(self._build_request(placed))
        match opened:
            case Result(tag="ok", ok=stream):
                try:
                    return await self._follow(stream, deliver)
                finally:
                    stream.close()
            case Result(error=verdict):
                self.sent = verdict.execution is not Execution.NOT_RUN
                return FailedAttempt(verdict, judge_failure(verdict))

    async def _follow(self, stream: RelayStream, deliver: Deliver) -> AttemptEnd:
        failure = judge_status(stream.head.status)
        if failure is not None:
            self.sent = failure.verdict.execution is not Execution.NOT_RUN
            return failure
        async for chunk in stream:
            block = self._answer.feed(chunk)
            if block:
                await deliver(block)
        return self._conclude(stream)

    def _conclude(self, stream: RelayStream) -> AttemptEnd:
        match self._answer.finish():
            case Result(tag="ok", ok=end):
                return WholeAnswer(end)
            case Result(error=verdict):
                cause = stream.verdict or verdict
                return FailedAttempt(cause, judge_failure(cause), self.usage)

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
            # On a reused connection that breaks, the HTTP library would send the
            # request again by itself: a second crash that nobody counts.
            idempotent=False,
            timeouts=self._timeouts,
        )
