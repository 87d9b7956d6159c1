"""Holds and settles the credit of requests for generated text."""

from expression import Error, Ok, Result

from kingcuphead.credit import CreditTask, Hold, Shortage
from kingcuphead.forwarding._context import Charge, RequestContext
from kingcuphead.forwarding._refusals import Refusal, refuse
from kingcuphead.forwarding._stream import AnswerStream
from kingcuphead.timing import get_time
from kingcuphead.verdict import Reason

#: Bound in seconds on waiting for credit.
CREDIT_TIMEOUT = 1.0
#: Seconds after which a caller may retry while other daemons hold the missing credit.
#: Credit lost with a crashed daemon never becomes available.
CREDIT_RETRY_AFTER = 8.0
#: Seconds after which a caller may retry while the store is unreachable.
STORE_RETRY_AFTER = 3.0


class Charging:
    """Charges organisations for requests.

    Parameters
    ----------
    credit
        Holds and settles the credit of organisations.
    """

    def __init__(self, credit: CreditTask) -> None:
        self._credit = credit

    async def acquire_hold(
        self, context: RequestContext
    ) -> Result[Hold | None, Refusal]:
        """Hold the tokens that a request may cost at most.

        Returns
        -------
        Result[Hold or None, Refusal]
            The hold, None if the request is free of charge, or the refusal.
        """
        organisation, size = context.organisation, context.request.size
        if organisation is None or organisation.prepaid_tokens is None or size is None:
            return Ok(None)
        tokens = size.prompt_tokens + size.output_tokens
        timeout = min(CREDIT_TIMEOUT, context.deadline - get_time())
        requested_at = get_time()
        held = await self._credit.hold(
            organisation.name, tokens, timeout, may_pledge=True
        )
        context.credit_seconds += get_time() - requested_at
        if held.is_ok():
            return Ok(held.ok)
        context.credit_state = held.error.state
        match held.error.shortage:
            case Shortage.EXHAUSTED:
                return Error(refuse(402, Reason.BUDGET_EXHAUSTED))
            case Shortage.UNPROVEN:
                return Error(refuse(503, Reason.CREDIT_UNAVAILABLE, CREDIT_RETRY_AFTER))
            case Shortage.UNREACHABLE | Shortage.RESTORING:
                return Error(refuse(503, Reason.CREDIT_UNAVAILABLE, STORE_RETRY_AFTER))

    async def activate(self, hold: Hold | None) -> None:
        """Wait until a request's credit may be spent; call it before any delivery."""
        if hold is not None:
            await self._credit.activate(hold)

    def settle(
        self, context: RequestContext, hold: Hold | None, stream: AnswerStream | None
    ) -> None:
        """Settle the hold with the prompt and the events sent; 0 if none was."""
        if hold is None:
            return
        context.charge = _compute_charge(context, hold, stream)
        self._credit.settle(hold, context.charge.tokens)


def _compute_charge(
    context: RequestContext, hold: Hold, stream: AnswerStream | None
) -> Charge:
    """Return what a request costs that has ended.

    A request of which nothing was delivered is free, also if targets ran it. Prompt
    and output are charged from the first event or with a whole answer.
    """
    size = context.request.size
    event_count = stream.event_count if stream is not None else 0
    is_delivered = event_count > 0 or context.is_answered
    if size is None or not is_delivered:
        return Charge(hold.tokens, 0, 0)
    output = min(event_count * context.tokens_per_event, size.output_tokens)
    return Charge(hold.tokens, size.prompt_tokens, output)
