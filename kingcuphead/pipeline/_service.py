"""Runs calls to plain services: place, forward."""

from expression import Error, Ok, Result

from kingcuphead.claims import RecordedAnswer
from kingcuphead.pipeline._attempt import ORGANISATION_HEADER, classify_failure
from kingcuphead.pipeline._claiming import Permit
from kingcuphead.pipeline._observations import Observer, Phase
from kingcuphead.pipeline._ports import Targets
from kingcuphead.pipeline._retry import exclude_target, include_earlier_attempts
from kingcuphead.pipeline._stages import Admitted, Placed, ServiceWork
from kingcuphead.placement import AnswerResult
from kingcuphead.queueing import RequestArrived
from kingcuphead.relay import Relay, RelayRequest, RelayStream, Timeouts
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Maximum size of a plain service's response body, in bytes.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
#: Methods that are idempotent by the definition of HTTP (RFC 9110, section 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


def is_safe_to_retry(admitted: Admitted) -> bool:
    """Return whether a call may be retried after it may have run."""
    return admitted.is_idempotent and admitted.received.method in IDEMPOTENT_METHODS


class ServiceForwarder:
    """Runs calls to plain services.

    Parameters
    ----------
    targets
        Placement of requests on targets.
    relay
        HTTP client for targets.
    timeouts
        Timeouts of the requests to targets.
    """

    def __init__(self, targets: Targets, relay: Relay, timeouts: Timeouts) -> None:
        self._targets = targets
        self._relay = relay
        self._timeouts = timeouts

    async def serve(
        self,
        admitted: Admitted,
        work: ServiceWork,
        permit: Permit,
        observer: Observer,
    ) -> Outcome[RecordedAnswer]:
        """Run one call; retry a failure on another target if that is harmless.

        Returns
        -------
        Outcome
            The complete response, with any status, or a verdict.
        """
        arrival = _make_arrival(admitted, work)
        while True:
            match await self._targets.place(arrival):
                case Result(tag="ok", ok=placed):
                    observer.end_phase(Phase.QUEUE)
                    answer = await self._run_attempt(admitted, work, permit, placed)
                case Result(error=verdict):
                    return Error(verdict)
            match answer:
                case Result(tag="ok"):
                    return answer
                case Result(error=verdict) if not _may_retry(admitted, verdict):
                    return Error(include_earlier_attempts(arrival, verdict))
                case Result(error=verdict):
                    arrival = exclude_target(arrival, placed.target, verdict)

    async def _run_attempt(
        self, admitted: Admitted, work: ServiceWork, permit: Permit, placed: Placed
    ) -> Outcome[RecordedAnswer]:
        operation_id = admitted.received.operation_id
        result = AnswerResult.CANCELLED
        try:
            permit.start_dispatch()
            answer = await self._call(admitted, work, placed)
            if answer.is_error() and answer.error.execution is Execution.NOT_RUN:
                permit.cancel_dispatch()
            result = _classify_result(answer)
            return answer
        finally:
            self._targets.finish(operation_id, placed.target, result)

    async def _call(
        self, admitted: Admitted, work: ServiceWork, placed: Placed
    ) -> Outcome[RecordedAnswer]:
        opened = await self._relay.open(self._build_request(admitted, work, placed))
        match opened:
            case Result(tag="ok", ok=stream):
                try:
                    self._targets.start(admitted.received.operation_id)
                    return await _read_response(stream)
                finally:
                    stream.close()
            case Result(error=verdict):
                return Error(verdict)

    def _build_request(
        self, admitted: Admitted, work: ServiceWork, placed: Placed
    ) -> RelayRequest:
        received = admitted.received
        headers = {
            **received.headers,
            "X-Request-Id": received.request_id,
            ORGANISATION_HEADER: admitted.identified.organisation.name,
        }
        return RelayRequest(
            address=placed.address,
            method=received.method,
            path=work.path,
            headers=headers,
            body=received.body or None,
            idempotent=is_safe_to_retry(admitted),
            timeouts=self._timeouts,
        )


async def _read_response(stream: RelayStream) -> Outcome[RecordedAnswer]:
    blocks = []
    size_bytes = 0
    async for block in stream:
        size_bytes += len(block)
        if size_bytes > MAX_RESPONSE_BYTES:
            detail = f"the response is larger than {MAX_RESPONSE_BYTES} bytes"
            return Error(Verdict(Execution.RAN, Reason.TRUNCATED, detail))
        blocks.append(block)
    if stream.verdict is not None:
        return Error(stream.verdict)
    return Ok(RecordedAnswer(stream.head.status, stream.head.headers, b"".join(blocks)))


def _classify_result(answer: Outcome[RecordedAnswer]) -> AnswerResult:
    match answer:
        case Result(tag="ok"):
            return AnswerResult.WHOLE
        case Result(error=verdict):
            return classify_failure(verdict)


def _may_retry(admitted: Admitted, verdict: Verdict) -> bool:
    match verdict.execution:
        case Execution.NOT_RUN:
            return True
        case Execution.MAY_HAVE_RUN:
            return is_safe_to_retry(admitted)
        case Execution.RAN:
            return False


def _make_arrival(admitted: Admitted, work: ServiceWork) -> RequestArrived:
    return RequestArrived(
        request_id=admitted.received.operation_id,
        organisation=admitted.identified.organisation.name,
        work_class=admitted.work_class.name,
        service=work.service.name,
        model="",
        size=1,
        deadline=admitted.deadline,
        fingerprint=admitted.fingerprint,
        is_idempotent=is_safe_to_retry(admitted),
    )
