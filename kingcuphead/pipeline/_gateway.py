"""The request path as a whole: filters from the caller to the answer."""

import dataclasses
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from loguru import logger

from kingcuphead.api import (
    ApiLimits,
    KeyIndex,
    Refusal,
    describe_refusal,
    encode_models,
    identify_caller,
)
from kingcuphead.claims import RecordedAnswer
from kingcuphead.pipeline._admission import AdmissionRules, admit_chat, admit_service
from kingcuphead.pipeline._chat import ChatPath
from kingcuphead.pipeline._claiming import ClaimedCalls, FreePermit, Permit
from kingcuphead.pipeline._delivery import (
    AssembledDelivery,
    Delivery,
    RecordingDelivery,
    StreamedDelivery,
    replay_events,
)
from kingcuphead.pipeline._identification import identify
from kingcuphead.pipeline._observations import Stopwatch
from kingcuphead.pipeline._ports import Caller
from kingcuphead.pipeline._service import ServicePath, is_repeatable
from kingcuphead.pipeline._stages import (
    Admitted,
    ChatWork,
    Identified,
    Received,
    ServiceWork,
)
from kingcuphead.records import Configuration
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Seconds after which a caller may try another daemon or this one again.
RETRY_AFTER = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Bounds of the request path."""

    #: Sizes beyond which a request is refused.
    limits: ApiLimits
    #: Seconds to the first token where neither caller nor class gives a deadline.
    default_deadline: float
    #: Most requests in the daemon at once.
    concurrent_requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnd:
    """How one request ended, for logs and metrics."""

    #: The request.
    received: Received
    #: Organisation, "" if it is not known.
    organisation: str
    #: Work class, "" if it is not known.
    work_class: str
    #: The verdict, or None for a whole answer.
    verdict: Verdict | None
    #: Times of its phases.
    stopwatch: Stopwatch


class Gateway:
    """Serves callers' requests under the configuration in force.

    Parameters
    ----------
    settings
        Bounds of the request path.
    chat
        The path of chat requests.
    services
        The path of calls to plain services.
    claimed
        Calls that must not be repeated.
    is_current
        Returns whether the configuration in force may still be used; asked at each
        request, for a daemon that wakes from a pause has not ticked yet.
    report
        Receives the end of every request.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        chat: ChatPath,
        services: ServicePath,
        claimed: ClaimedCalls,
        is_current: Callable[[], bool],
        report: Callable[[RequestEnd], None],
    ) -> None:
        self._settings = settings
        self._chat = chat
        self._services = services
        self._claimed = claimed
        self._is_current = is_current
        self._report = report
        self._configuration = Configuration()
        self._index = KeyIndex.build(self._configuration)
        self._closed_reason: Reason | None = None
        self._open_requests = 0

    @property
    def open_requests(self) -> int:
        """Requests that have not ended, and calls whose outcome is not recorded."""
        return self._open_requests + self._claimed.unfinished

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in force for requests that arrive from now on."""
        self._configuration = configuration
        self._index = KeyIndex.build(configuration)

    def close(self, reason: Reason) -> None:
        """Refuse requests that arrive from now on, for good."""
        self._closed_reason = reason

    def list_models(self, received: Received) -> Outcome[bytes]:
        """Return the models that the caller's organisation may use."""
        return identify_caller(received.headers, self._index).map(
            lambda organisation: encode_models(self._configuration, organisation)
        )

    async def serve_chat(self, received: Received, caller: Caller) -> None:
        """Serve a chat request."""
        await self._serve(
            received, caller, lambda identified: admit_chat(identified, self._rules)
        )

    async def serve_service(
        self, received: Received, caller: Caller, name: str, path: str
    ) -> None:
        """Serve a call to a plain service."""
        await self._serve(
            received,
            caller,
            lambda identified: admit_service(identified, name, path, self._rules),
        )

    @property
    def _rules(self) -> AdmissionRules:
        return AdmissionRules(
            self._configuration, self._settings.limits, self._settings.default_deadline
        )

    async def _serve(
        self,
        received: Received,
        caller: Caller,
        admit: Callable[[Identified], Outcome[Admitted]],
    ) -> None:
        stopwatch = Stopwatch(received.received_at)
        admitted = (
            self._check_open()
            .bind(lambda _: identify(received, self._index, self._settings.limits))
            .bind(admit)
        )
        match admitted:
            case Result(tag="ok", ok=request):
                await self._run(request, caller, stopwatch)
            case Result(error=verdict):
                await send_refusal(caller, verdict, received.request_id)
                self._report(RequestEnd(received, "", "", verdict, stopwatch))

    async def _run(
        self, request: Admitted, caller: Caller, stopwatch: Stopwatch
    ) -> None:
        organisation = request.identified.organisation.name
        self._open_requests += 1
        verdict: Verdict | None = Verdict(
            Execution.MAY_HAVE_RUN, Reason.CALLER_GONE, "the caller hung up"
        )
        try:
            with logger.contextualize(
                request_id=request.received.request_id, organisation=organisation
            ):
                verdict = await self._dispatch(request, caller, stopwatch)
        finally:
            self._open_requests -= 1
            self._report(
                RequestEnd(
                    request.received,
                    organisation,
                    request.work_class.name,
                    verdict,
                    stopwatch,
                )
            )

    async def _dispatch(
        self, request: Admitted, caller: Caller, stopwatch: Stopwatch
    ) -> Verdict | None:
        match request.work:
            case ChatWork() as work:
                return await self._serve_admitted_chat(request, work, caller, stopwatch)
            case ServiceWork() as work:
                return await self._serve_call(request, work, caller, stopwatch)

    async def _serve_admitted_chat(
        self, request: Admitted, work: ChatWork, caller: Caller, stopwatch: Stopwatch
    ) -> Verdict | None:
        delivery = self._make_delivery(request, work, caller)
        if request.idempotent:
            outcome = await self._chat.serve(
                request, work, FreePermit(), delivery, stopwatch
            )
        else:
            outcome = await self._serve_claimed_chat(request, work, delivery, stopwatch)
        if outcome.is_ok():
            return None
        verdict = outcome.error
        if delivery.begun:
            await delivery.break_off(verdict)
        else:
            await send_refusal(
                caller, verdict, request.received.request_id, request.idempotent
            )
        return verdict

    async def _serve_claimed_chat(
        self,
        request: Admitted,
        work: ChatWork,
        delivery: Delivery,
        stopwatch: Stopwatch,
    ) -> Outcome[None]:
        """Serve a chat request that must not be repeated, or replay its answer."""
        recording = RecordingDelivery(delivery)

        async def operate(permit: Permit) -> Outcome[RecordedAnswer]:
            served = await self._chat.serve(request, work, permit, recording, stopwatch)
            return served.map(lambda _: recording.make_answer())

        outcome = await self._claimed.run(request, operate)
        if outcome.is_error():
            return Error(outcome.error)
        if not recording.used:
            return await replay_events(outcome.ok, delivery)
        return Ok(None)

    def _make_delivery(
        self, request: Admitted, work: ChatWork, caller: Caller
    ) -> Delivery:
        request_id = request.received.request_id
        if work.chat.stream:
            return StreamedDelivery(caller, request_id)
        return AssembledDelivery(caller, request_id)

    async def _serve_call(
        self, request: Admitted, work: ServiceWork, caller: Caller, stopwatch: Stopwatch
    ) -> Verdict | None:
        async def operate(permit: Permit) -> Outcome[RecordedAnswer]:
            return await self._services.serve(request, work, permit, stopwatch)

        if request.idempotent:
            outcome = await operate(FreePermit())
        else:
            outcome = await self._claimed.run(request, operate)
        match outcome:
            case Result(tag="ok", ok=answer):
                await send_answer(caller, answer, request.received.request_id)
                return None
            case Result(error=verdict):
                await send_refusal(
                    caller, verdict, request.received.request_id, is_repeatable(request)
                )
                return verdict

    def _check_open(self) -> Outcome[None]:
        if self._closed_reason is not None:
            return _refuse(self._closed_reason, "the daemon takes no requests")
        if not self._is_current():
            detail = "the configuration could not be confirmed"
            return _refuse(Reason.CONFIGURATION_STALE, detail)
        if self._open_requests >= self._settings.concurrent_requests:
            detail = f"{self._open_requests} requests are in the daemon already"
            return _refuse(Reason.QUEUE_FULL, detail)
        return Ok(None)


async def send_refusal(
    caller: Caller, verdict: Verdict, request_id: str, idempotent: bool = False
) -> None:
    """Tell a caller that has got nothing yet what became of its request."""
    refusal: Refusal = describe_refusal(verdict, request_id, idempotent=idempotent)
    await caller.start(refusal.status, refusal.headers)
    await caller.write(refusal.body)
    await caller.finish()


async def send_answer(caller: Caller, answer: RecordedAnswer, request_id: str) -> None:
    """Pass the answer of a plain service on."""
    headers = {
        name: value
        for name, value in answer.headers
        if name.lower() != "content-length"
    }
    headers["X-Request-Id"] = request_id
    await caller.start(answer.status, headers)
    if answer.body:
        await caller.write(answer.body)
    await caller.finish()


def _refuse(reason: Reason, detail: str) -> Outcome[Any]:
    return Error(Verdict(Execution.NOT_RUN, reason, detail, retry_after=RETRY_AFTER))
