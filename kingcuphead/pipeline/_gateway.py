"""Gateway: runs callers' requests through all stages of the pipeline."""

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
from kingcuphead.pipeline._chat import ChatForwarder
from kingcuphead.pipeline._claiming import ClaimedCalls, Permit, UnrestrictedPermit
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
from kingcuphead.pipeline._service import ServiceForwarder, is_safe_to_retry
from kingcuphead.pipeline._stages import (
    Admitted,
    ChatWork,
    Identified,
    Received,
    ServiceWork,
)
from kingcuphead.records import Configuration
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Seconds after which a refused caller may retry, at any daemon.
RETRY_AFTER = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Limits of the request pipeline."""

    #: Size limits above which a request is refused.
    limits: ApiLimits
    #: Deadline for the first token, in seconds after arrival, where neither the caller
    #: nor the work class sets one.
    default_deadline: float
    #: Maximum number of open requests in the daemon.
    concurrent_requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnd:
    """Result of one request, for logs and metrics."""

    #: The request as it arrived.
    received: Received
    #: Name of the organisation; "" if the request was refused before admission.
    organisation: str
    #: Name of the work class; "" if the request was refused before admission.
    work_class: str
    #: The verdict; None for a complete response.
    verdict: Verdict | None
    #: Durations of the phases, and the usage.
    stopwatch: Stopwatch


class Gateway:
    """Handles callers' requests under the configuration in force.

    Parameters
    ----------
    settings
        Limits of the request pipeline.
    chat
        Runs chat requests.
    services
        Runs calls to plain services.
    claimed
        Runs calls that must run at most once.
    is_current
        Returns whether the configuration in force may still be used. Called for each
        request, because the timers of a daemon that was suspended run only some time
        after it resumes.
    report
        Called with the result of each request.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        chat: ChatForwarder,
        services: ServiceForwarder,
        claimed: ClaimedCalls,
        is_current: Callable[[], bool],
        report: Callable[[RequestEnd], None],
    ) -> None:
        self._settings = settings
        self._chat_forwarder = chat
        self._service_forwarder = services
        self._claimed_calls = claimed
        self._is_current = is_current
        self._report = report
        self._configuration = Configuration()
        self._key_index = KeyIndex.build(self._configuration)
        self._closed_reason: Reason | None = None
        self._open_requests = 0

    @property
    def open_requests(self) -> int:
        """Number of open requests, and of calls whose outcome is not yet recorded."""
        return self._open_requests + self._claimed_calls.unfinished

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in force for requests that arrive from now on."""
        self._configuration = configuration
        self._key_index = KeyIndex.build(configuration)

    def close(self, reason: Reason) -> None:
        """Refuse all requests from now on, until the process ends."""
        self._closed_reason = reason

    def list_models(self, received: Received) -> Outcome[bytes]:
        """Return the JSON list of the models that the caller's organisation may use."""
        return identify_caller(received.headers, self._key_index).map(
            lambda organisation: encode_models(self._configuration, organisation)
        )

    async def serve_chat(self, received: Received, caller: Caller) -> None:
        """Handle a chat request."""
        await self._serve(
            received, caller, lambda identified: admit_chat(identified, self._rules)
        )

    async def serve_service(
        self, received: Received, caller: Caller, name: str, path: str
    ) -> None:
        """Handle a call to a plain service."""
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
            .bind(lambda _: identify(received, self._key_index, self._settings.limits))
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
            Execution.MAY_HAVE_RUN,
            Reason.CALLER_GONE,
            "the caller closed the connection",
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
        if request.is_idempotent:
            outcome = await self._chat_forwarder.serve(
                request, work, UnrestrictedPermit(), delivery, stopwatch
            )
        else:
            outcome = await self._serve_claimed_chat(request, work, delivery, stopwatch)
        if outcome.is_ok():
            return None
        verdict = outcome.error
        if delivery.has_started:
            await delivery.abort(verdict)
        else:
            await send_refusal(
                caller, verdict, request.received.request_id, request.is_idempotent
            )
        return verdict

    async def _serve_claimed_chat(
        self,
        request: Admitted,
        work: ChatWork,
        delivery: Delivery,
        stopwatch: Stopwatch,
    ) -> Outcome[None]:
        """Run a chat request at most once, or replay its recorded response."""
        recording = RecordingDelivery(delivery)

        async def execute(permit: Permit) -> Outcome[RecordedAnswer]:
            served = await self._chat_forwarder.serve(
                request, work, permit, recording, stopwatch
            )
            return served.map(lambda _: recording.build_recorded_answer())

        outcome = await self._claimed_calls.run(request, execute)
        if outcome.is_error():
            return Error(outcome.error)
        if not recording.has_delivered:
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
        async def execute(permit: Permit) -> Outcome[RecordedAnswer]:
            return await self._service_forwarder.serve(request, work, permit, stopwatch)

        if request.is_idempotent:
            outcome = await execute(UnrestrictedPermit())
        else:
            outcome = await self._claimed_calls.run(request, execute)
        match outcome:
            case Result(tag="ok", ok=answer):
                await send_response(caller, answer, request.received.request_id)
                return None
            case Result(error=verdict):
                await send_refusal(
                    caller,
                    verdict,
                    request.received.request_id,
                    is_safe_to_retry(request),
                )
                return verdict

    def _check_open(self) -> Outcome[None]:
        if self._closed_reason is not None:
            return _refuse(self._closed_reason, "the daemon accepts no new requests")
        if not self._is_current():
            detail = "the configuration could not be confirmed in time"
            return _refuse(Reason.CONFIGURATION_STALE, detail)
        if self._open_requests >= self._settings.concurrent_requests:
            detail = f"the daemon already has {self._open_requests} open requests"
            return _refuse(Reason.QUEUE_FULL, detail)
        return Ok(None)


async def send_refusal(
    caller: Caller, verdict: Verdict, request_id: str, idempotent: bool = False
) -> None:
    """Send a refusal to a caller to which nothing has been sent yet."""
    refusal: Refusal = describe_refusal(verdict, request_id, idempotent=idempotent)
    await caller.start(refusal.status, refusal.headers)
    await caller.write(refusal.body)
    await caller.finish()


async def send_response(
    caller: Caller, answer: RecordedAnswer, request_id: str
) -> None:
    """Send the response of a plain service to the caller."""
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
