"""Credit transfers between daemons, for requests that the store can't serve.

A daemon deducts the tokens it transfers before it sends the reply, and the requester
applies each reply once. A lost reply leaves its tokens charged, and no token can be
spent twice.

Only free credit is transferred. A daemon that lacks it moves a part of its outage
reserve to its free credit by a transaction (see `_account`), and the requester asks
again once that is committed.
"""

from collections import OrderedDict

from kingcuphead.credit._ledger import CreditLedger
from kingcuphead.frozen import frozen

#: Maximum number of sent replies kept for resending, and of requests kept open.
MAX_RETAINED_MESSAGES = 4_096
#: Value of an amount that a reply doesn't state.
UNSTATED = -1


@frozen
class CreditAsked:
    """A daemon's request for a credit transfer from another daemon.

    A request for 0 tokens asks only what the other daemon could transfer.
    """

    #: Identity of the requesting incarnation.
    sender: str
    #: Number of the request, never used again by that incarnation.
    number: int
    #: Organisation that pays.
    organisation: str
    #: Tokens that requests lack.
    tokens: int
    #: Further tokens, of what the other daemon doesn't need for its own demand.
    extra: int = 0


@frozen
class CreditHanded:
    """The reply to a transfer request; its tokens belong to the receiver."""

    #: Identity of the incarnation that sent the request.
    receiver: str
    #: Number of the request.
    number: int
    #: Tokens transferred, often fewer than requested.
    tokens: int
    #: Tokens that the sender could still transfer at once; `UNSTATED` from a sender of
    #: an earlier release.
    free: int = UNSTATED
    #: Tokens of the sender's reserve that it can move to its free credit on request.
    reserve: int = 0


class TransferEndpoint:
    """State machine for both sides of a daemon's credit transfers; performs no I/O.

    Parameters
    ----------
    ledger
        The credit of this daemon.
    incarnation
        Identity of this incarnation of the daemon, never used again.
    """

    def __init__(self, ledger: CreditLedger, incarnation: str) -> None:
        self._ledger = ledger
        self._incarnation = incarnation
        self._number = 0
        self._open: OrderedDict[int, str] = OrderedDict()
        self._replies: OrderedDict[tuple[str, int], CreditHanded] = OrderedDict()

    def create_request(
        self, organisation: str, tokens: int, extra: int = 0
    ) -> CreditAsked:
        """Open a transfer request and return it; it may be sent several times."""
        self._number += 1
        self._open[self._number] = organisation
        if len(self._open) > MAX_RETAINED_MESSAGES:
            self._open.popitem(last=False)
        return CreditAsked(self._incarnation, self._number, organisation, tokens, extra)

    def handle_request(self, request: CreditAsked, now: float) -> CreditHanded:
        """Deduct spare credit and return the reply.

        A repeated request gets the reply that was sent before.
        """
        key = (request.sender, request.number)
        sent = self._replies.get(key)
        if sent is not None:
            return sent
        reply = self._transfer(request, now)
        self._replies[key] = reply
        if len(self._replies) > MAX_RETAINED_MESSAGES:
            self._replies.popitem(last=False)
        return reply

    def handle_reply(self, reply: CreditHanded) -> bool:
        """Add the tokens of a reply, or return False if it matches no open request."""
        if reply.receiver != self._incarnation:
            return False
        organisation = self._open.pop(reply.number, None)
        if organisation is None:
            return False
        self._ledger.transfer_in(organisation, reply.tokens)
        return True

    def _transfer(self, request: CreditAsked, now: float) -> CreditHanded:
        ledger, organisation = self._ledger, request.organisation
        tokens = ledger.transfer_out(organisation, request.tokens, now)
        if tokens < request.tokens:
            ledger.request_reserve(organisation, request.tokens - tokens, now)
        tokens += ledger.transfer_surplus(organisation, request.extra, now)
        return CreditHanded(
            request.sender,
            request.number,
            tokens,
            ledger.count_transferable(organisation, now),
            ledger.count_movable_reserve(organisation, now),
        )
