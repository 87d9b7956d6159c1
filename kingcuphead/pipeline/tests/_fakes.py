"""Fakes of the interfaces that the request pipeline depends on."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from typing import cast

from expression import Error, Ok

from kingcuphead.api import ApiLimits, CallerHeaders, Usage, parse_chat
from kingcuphead.pipeline._chat import ChatDependencies, ChatForwarder, ChatTimeouts
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

#: Upper bound on the cost of the fake request, in tokens.
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
BROKEN = Verdict(Execution.MAY_HAVE_RUN, Reason.TARGET_FAILED, "connection broken")
NO_TARGET = Verdict(Execution.NOT_RUN, Reason.NO_TARGET, "no target")


class FakeStream:
    """A response stream of the given blocks that then ends, or hangs."""

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


def make_complete_stream() -> FakeStream:
    """Return a stream with a complete response."""
    return FakeStream((FIRST_EVENT, LAST_EVENTS))


class FakeRelay:
    """Opens the given streams, or fails with the given verdicts, in order."""

    def __init__(self, log: list[str], *responses: FakeStream | Verdict) -> None:
        self._log = log
        self._responses = list(responses)

    async def open(self, request: RelayRequest) -> Outcome[FakeStream]:
        self._log.append("open")
        response = self._responses.pop(0)
        return Error(response) if isinstance(response, Verdict) else Ok(response)


class FakeHolds:
    """Grants every hold and logs its release or settlement."""

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
    """Places requests on `count` targets in order, then refuses."""

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
        """Do nothing."""

    def finish(self, operation_id: str, target: str, result: AnswerResult) -> None:
        self._log.append(f"finish {target} {result}")


class FakePermit:
    """Logs the dispatches that are started and cancelled."""

    def __init__(self, log: list[str]) -> None:
        self._log = log

    def start_dispatch(self) -> None:
        self._log.append("start_dispatch")

    def cancel_dispatch(self) -> None:
        self._log.append("cancel_dispatch")


class FakeCaller:
    """Collects the response body."""

    def __init__(self) -> None:
        self.content = b""
        self.finished = False

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Do nothing."""

    async def write(self, content: bytes) -> None:
        self.content += content

    async def finish(self) -> None:
        self.finished = True


class FakeObserver:
    """Discards all measurements."""

    def end_phase(self, phase: Phase) -> None:
        """Do nothing."""

    def record_chunk(self) -> None:
        """Do nothing."""

    def record_usage(self, usage: Usage) -> None:
        """Do nothing."""


class ChatHarness:
    """Runs one chat request against fakes and logs its effects.

    Parameters
    ----------
    responses
        Responses or failures of the targets, in order.
    key
        Idempotency key; None for a request that may run more than once.
    streamed
        Whether the response is streamed to the caller.
    settles
        Whether settlements end with a durable bill.
    """

    def __init__(
        self,
        *responses: FakeStream | Verdict,
        key: str | None = None,
        streamed: bool = True,
        settles: bool = True,
    ) -> None:
        self.log: list[str] = []
        self.caller = FakeCaller()
        self.targets = FakeTargets(self.log)
        holds = FakeHolds(self.log, settles)
        self.settlements = Settlements(holds)
        relay = cast(Relay, FakeRelay(self.log, *responses))
        timeouts = ChatTimeouts(1.0, Timeouts())
        self._forwarder = ChatForwarder(
            ChatDependencies(holds, self.settlements, self.targets, relay, timeouts)
        )
        make: Callable[[FakeCaller, str], Delivery] = (
            StreamedDelivery if streamed else AssembledDelivery
        )
        self.delivery = make(self.caller, "r")
        self._key = key

    async def serve(self) -> Outcome[None]:
        """Run the request."""
        admitted = make_admitted(self._key)
        assert isinstance(admitted.work, ChatWork)
        return await self._forwarder.serve(
            admitted,
            admitted.work,
            FakePermit(self.log),
            self.delivery,
            FakeObserver(),
        )


def make_admitted(key: str | None) -> Admitted:
    """Return an admitted chat request with the given idempotency key."""
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
