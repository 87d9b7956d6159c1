"""Lets a request wait for room before its first attempt."""

import itertools

from kingcuphead.admission import AdmissionGate, AdmissionRequest, Admitted, Refused
from kingcuphead.dispatch import PlacementRequest
from kingcuphead.forwarding._context import RequestContext
from kingcuphead.forwarding._refusals import Refusal, refuse
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.forwarding._target_choice import TargetChoice
from kingcuphead.targets import Target
from kingcuphead.timing import get_time

#: Seconds before the deadline by which the gate has to decide. It looks for requests
#: that can't begin any more at intervals of this length, so a refusal may be as late.
REFUSAL_MARGIN = 0.02


class AdmissionStep:
    """Admission of requests on their way to a target.

    Parameters
    ----------
    gate
        Admits requests when targets have room; None to admit all at once.
    targets
        Lists the targets of a request.
    """

    def __init__(self, gate: AdmissionGate | None, targets: TargetChoice) -> None:
        self._gate = gate
        self._targets = targets
        self._numbers = itertools.count(1)

    @property
    def is_enabled(self) -> bool:
        """Whether requests wait for room."""
        return self._gate is not None

    async def enter(self, context: RequestContext) -> Refusal | None:
        """Wait until a request may be sent; return its refusal if it may not."""
        if self._gate is None:
            return None
        began_at = get_time()
        query = _ContextQuery(context, self._targets)
        try:
            request = self._make_request(self._gate, context)
            decision = await self._gate.enter(request, query)
        finally:
            context.queue_seconds += get_time() - began_at
        match decision:
            case Admitted():
                context.admitted_at = get_time()
                return None
            case Refused(reason, retry_after, figures):
                context.queue_figures = figures
                return refuse(503, reason, retry_after)

    def record_end(self, context: RequestContext, stream: AnswerStream | None) -> None:
        """Record how long the first answer took, if one attempt brought it."""
        if self._gate is None or context.status != 200 or len(context.records) != 1:
            return
        seconds = context.records[0].seconds
        if stream is not None and stream.is_started:
            seconds = stream.started_at - context.admitted_at
        self._gate.answer_times.record(context.service, _get_size(context), seconds)

    def _make_request(
        self, gate: AdmissionGate, context: RequestContext
    ) -> AdmissionRequest:
        request = context.request
        size = _get_size(context)
        return AdmissionRequest(
            request_id=str(next(self._numbers)),
            service=context.service,
            organisation=context.payer,
            rank=context.rank,
            size=size,
            body_bytes=len(request.body),
            fingerprint=context.identity.fingerprint,
            arrived_at=request.arrived_at,
            objective_ends_at=request.arrived_at + context.route.objective,
            deadline=context.deadline - REFUSAL_MARGIN,
            answer_seconds=gate.answer_times.estimate(context.service, size),
        )


class _ContextQuery:
    """Describes the request of a context to the dispatcher."""

    def __init__(self, context: RequestContext, targets: TargetChoice) -> None:
        self._context = context
        self._targets = targets
        self._placement_request = context.make_placement_request()

    @property
    def group(self) -> str:
        """Equal for requests of a service that have the same candidates."""
        return self._context.bound_version or ""

    def list_candidates(self) -> tuple[Target, ...]:
        """Return the targets that may run the request now."""
        return self._targets.list_open(self._context)

    def make_placement_request(self) -> PlacementRequest:
        """Return the properties on which the choice of a target depends."""
        return self._placement_request


def _get_size(context: RequestContext) -> int:
    """Return the size in tokens; 1 for a request without token counts."""
    size = context.request.size
    return 1 if size is None else max(1, size.prompt_tokens + size.output_tokens)
