"""Fakes of what the request path needs from the daemon's tasks."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from typing import cast

from expression import Error, Ok

from kingcuphead.api import ApiLimits, CallerHeaders, Usage, parse_chat
from kingcuphead.pipeline._chat import ChatPath, ChatResources, ChatTimes
from kingcuphead.pipeline._delivery import AssembledDelivery, Delivery, StreamedDelivery
from kingcuphead.pipeline._observations import Phase
from kingcuphead.pipeline._ports import HoldTerms
from kingcuphead.pipeline._settlement import Settlements
from kingcuphead.pipeline._stages import (
    Admitted,
    ChatWork,
    Identified,
    Placed,
    Received,
)
from kingcuphead.placement import AnswerResult
from kingcuphead.queueing import RequestArrived
from kingcuphead.records import Budget, Model, Organisation, WorkClass
from kingcuphead.relay import Relay, RelayRequest, ResponseHead, Timeouts
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Upper bound on the cost of the request, in tokens.
BOUND = 50
BODY = b'{"model": "m", "messages": [{"role": "user", "content": "q"}], "stream": true}'
FIRST_EVENT = (
    b'data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m",'
    b'"choices":[{"index":0,"delta":{"role":"assistant","content":"a"},'
    b'"finish_reason":null}],'
    b'"usage":{"prompt_tokens":7,"completion_tokens":1,"total_tokens":8}}\n\n'
)
LAST_EVENTS = (
    b'data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m",'
    b'"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],'
    b'"usage":{"prompt_tokens":7,"completion_tokens":1,"total_tokens":8}}\n\n'
    b'data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m",'
    b'"choices":[],'
    b'"usage":{"prompt_tokens":7,"completion_tokens":1,"total_tokens":8}}\n\n'
    b"data: [DONE]\n\n"
)
NOT_CONNECTED = Verdict(Execution.NOT_RUN, Reason.TARGET_FAILED, "not connected")
BROKEN = Verdict(Execution.MAY_HAVE_RUN, Reason.TARGET_FAILED, "broken off")
NO_TARGET = Verdict(Execution.NOT_RUN, Reason.NO_TARGET, "no target")


class FakeStream:
    """An answer of the given blocks, then its end."""

    def __init__(
        self,
        blocks: Sequence[bytes],
        verdict: Verdict | None = None,
        status: int = 200,
        hangs: bool = False,
    ) -> None:
        self.head = ResponseHead(status, ())
        self.verdict = verdict
        self.closed = False
        self._blocks = blocks
        self._hangs = hangs

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for block in self._blocks:
            yield block
        if self._hangs:
            await asyncio.Event().wait()

    def close(self) -> None:
        self.closed = True


def make_whole() -> FakeStream:
    """Return a whole answer."""
    return FakeStream((FIRST_EVENT, LAST_EVENTS))


class FakeRelay:
    """Opens the given streams in order."""

    def __init__(self, log: list[str], *answers: FakeStream | Verdict) -> None:
        self._log = log
        self._answers = list(answers)

    async def open(self, request: RelayRequest) -> Outcome[FakeStream]:
        self._log.append("open")
        answer = self._answers.pop(0)
        return Error(answer) if isinstance(answer, Verdict) else Ok(answer)


class FakeHolds:
    """Notes what became of the hold."""

    def __init__(self, log: list[str], settles: bool = True) -> None:
        self._log = log
        self._settles = settles

    async def hold(self, terms: HoldTerms) -> Outcome[str]:
        return Ok("hold")

    def release(self, hold_id: str) -> None:
        self._log.append("release")

    async def settle(
        self, hold_id: str, prompt_tokens: int, completion_tokens: int, measured: bool
    ) -> None:
        self._log.append(f"settle {prompt_tokens} {completion_tokens} {measured}")
        if not self._settles:
            await asyncio.Event().wait()


class FakeTargets:
    """Gives the named targets in order, then none."""

    def __init__(self, log: list[str], count: int = 2) -> None:
        self._log = log
        self._names = [f"target-{number}" for number in range(count)]
        self.arrivals: list[RequestArrived] = []

    async def place(self, arrival: RequestArrived) -> Outcome[Placed]:
        self.arrivals.append(arrival)
        if not self._names:
            return Error(NO_TARGET)
        return Ok(Placed(self._names.pop(0), "127.0.0.1:1", 0))

    def start(self, operation_id: str) -> None:
        """Not looked at."""

    def finish(self, operation_id: str, target: str, result: AnswerResult) -> None:
        self._log.append(f"finish {target} {result}")


class FakePermit:
    """Notes the dispatches."""

    def __init__(self, log: list[str]) -> None:
        self._log = log

    def start_dispatch(self) -> None:
        self._log.append("start_dispatch")

    def cancel_dispatch(self) -> None:
        self._log.append("cancel_dispatch")


class FakeCaller:
    """Keeps what the caller gets."""

    def __init__(self) -> None:
        self.content = b""
        self.finished = False

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Not looked at."""

    async def write(self, content: bytes) -> None:
        self.content += content

    async def finish(self) -> None:
        self.finished = True


class FakeObserver:
    """Measures nothing."""

    def end_phase(self, phase: Phase) -> None:
        """Not looked at."""

    def take_piece(self) -> None:
        """Not looked at."""

    def take_usage(self, usage: Usage) -> None:
        """Not looked at."""


class Bench:
    """The path of one chat request between fakes, and the log of its effects.

    Parameters
    ----------
    answers
        What the targets answer, in order.
    key
        Idempotency key.
    streamed
        Whether the caller wants events.
    settles
        Whether bills become safe.
    """

    def __init__(
        self,
        *answers: FakeStream | Verdict,
        key: str | None = None,
        streamed: bool = True,
        settles: bool = True,
    ) -> None:
        self.log: list[str] = []
        self.caller = FakeCaller()
        self.targets = FakeTargets(self.log)
        holds = FakeHolds(self.log, settles)
        self.settlements = Settlements(holds)
        relay = cast(Relay, FakeRelay(self.log, *answers))
        times = ChatTimes(1.0, Timeouts())
        self._path = ChatPath(
            ChatResources(holds, self.settlements, self.targets, relay, times)
        )
        make: Callable[[FakeCaller, str], Delivery] = (
            StreamedDelivery if streamed else AssembledDelivery
        )
        self.delivery = make(self.caller, "r")
        self._key = key

    async def serve(self) -> Outcome[None]:
        """Serve the request."""
        admitted = make_admitted(self._key)
        assert isinstance(admitted.work, ChatWork)
        return await self._path.serve(
            admitted,
            admitted.work,
            FakePermit(self.log),
            self.delivery,
            FakeObserver(),
        )


def make_admitted(key: str | None) -> Admitted:
    """Return a chat request that was admitted."""
    headers = CallerHeaders("r", key, "short", None)
    received = Received("r", "r#1", "POST", "/v1/chat/completions", {}, BODY, 0.0)
    organisation = Organisation("atlas", (), "atlas", ("m",))
    chat = parse_chat(BODY, {}, ApiLimits()).ok
    model = Model("m", ("1",), 16)
    work = ChatWork(chat, model, "runners", Budget("atlas"), BOUND, 16)
    identified = Identified(received, organisation, headers)
    return Admitted(
        identified, work, WorkClass("short", 1, 20.0), 20.0, "fingerprint", b""
    )
