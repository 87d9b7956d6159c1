"""Credit that other daemons have offered, and whom to ask for how much."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from kingcuphead.addresses import Address
from kingcuphead.credit._transfer import UNSTATED, CreditHanded
from kingcuphead.frozen import frozen

#: Seconds for which a daemon's statement is used to choose whom to ask.
STATEMENT_RETENTION_SECONDS = 2.0
#: Seconds after a statement before the daemon is asked again what it has.
STATEMENT_FRESH_SECONDS = 0.2
#: Seconds that a daemon needs to move tokens from its reserve to its free credit: one
#: transaction, and the time until it is begun.
RESERVE_MOVE_SECONDS = 0.03
#: Free tokens assumed of a daemon of an earlier release, which doesn't state them.
UNSTATED_FREE_TOKENS = 4_000
#: Maximum number of daemons asked for tokens at once.
MAX_PARALLEL_REQUESTS = 16
#: Maximum number of organisations of which statements are kept.
MAX_ORGANISATIONS = 256


@frozen
class PeerStatement:
    """What one daemon said last about its credit of one organisation."""

    #: Tokens that it could transfer at once.
    free: int
    #: Tokens of its reserve that it could move to its free credit.
    reserve: int
    #: Time in seconds at which the statement was received.
    received_at: float
    #: Time in seconds before which it isn't asked again for tokens.
    ready_at: float

    @property
    def total(self) -> int:
        """Tokens that it could transfer after moving its reserve."""
        return self.free + self.reserve


@frozen
class PlannedRequest:
    """A transfer request to send."""

    #: The daemon to ask.
    peer: Address
    #: Tokens to ask for.
    tokens: int = 0
    #: Further tokens, of what it doesn't need itself. If both are 0, the request only
    #: asks what the daemon has.
    extra: int = 0


class PeerStatements:
    """Statements of other daemons, by organisation; performs no I/O."""

    def __init__(self) -> None:
        self._statements: OrderedDict[str, dict[Address, PeerStatement]] = OrderedDict()

    def record(
        self,
        organisation: str,
        peer: Address,
        asked: int,
        reply: CreditHanded,
        now: float,
    ) -> None:
        """Record what a daemon said in its reply to a request for `asked` tokens."""
        is_moving = reply.tokens < asked and reply.reserve > 0
        free = reply.free
        if free == UNSTATED:
            free = 0 if reply.tokens < asked else UNSTATED_FREE_TOKENS
        ready_at = now + RESERVE_MOVE_SECONDS if is_moving else now
        statement = PeerStatement(free, reply.reserve, now, ready_at)
        self._statements.setdefault(organisation, {})[peer] = statement
        self._statements.move_to_end(organisation)
        if len(self._statements) > MAX_ORGANISATIONS:
            self._statements.popitem(last=False)

    def forget(self, organisation: str, peer: Address) -> None:
        """Remove the statement of a daemon that did not reply."""
        self._statements.get(organisation, {}).pop(peer, None)

    def count_known(
        self, organisation: str, peers: Iterable[Address], now: float
    ) -> tuple[int, int]:
        """Return the known free tokens and reserve tokens of some daemons."""
        known = [each for _, each in self._list_known(organisation, peers, now)]
        return sum(each.free for each in known), sum(each.reserve for each in known)

    def find_ready_time(
        self, organisation: str, peers: Iterable[Address], now: float
    ) -> float | None:
        """Return when the first reserve that is being moved is free, or None."""
        times = (
            each.ready_at
            for _, each in self._list_known(organisation, peers, now)
            if each.ready_at > now
        )
        return min(times, default=None)

    def list_unknown(
        self, organisation: str, peers: Iterable[Address], now: float
    ) -> tuple[Address, ...]:
        """Return the daemons without a fresh statement."""
        statements = self._statements.get(organisation, {})
        return tuple(
            peer
            for peer in peers
            if peer not in statements
            or now - statements[peer].received_at > STATEMENT_FRESH_SECONDS
        )

    def plan_requests(
        self, organisation: str, missing: int, peers: Iterable[Address], now: float
    ) -> tuple[PlannedRequest, ...]:
        """Return the requests that cover what is missing, as far as is known.

        Daemons with the most free credit are asked first, then those with the largest
        reserve.

        Parameters
        ----------
        organisation
            Organisation that pays.
        missing
            Tokens to ask for.
        peers
            Daemons that may be asked.
        now
            Time in seconds.
        """
        ready = [
            (peer, each)
            for peer, each in self._list_known(organisation, peers, now)
            if each.ready_at <= now and each.total
        ]
        ready.sort(key=lambda each: (each[1].free, each[1].reserve), reverse=True)
        remaining, planned = missing, []
        is_covered = sum(each.free for _, each in ready) >= missing
        for peer, each in ready[:MAX_PARALLEL_REQUESTS]:
            if remaining <= 0:
                break
            tokens = min(remaining, each.free if is_covered else each.total)
            planned.append(PlannedRequest(peer, tokens))
            remaining -= tokens
        return tuple(planned)

    def _list_known(
        self, organisation: str, peers: Iterable[Address], now: float
    ) -> Iterator[tuple[Address, PeerStatement]]:
        statements = self._statements.get(organisation, {})
        for peer in peers:
            statement = statements.get(peer)
            if statement is None:
                continue
            if now - statement.received_at <= STATEMENT_RETENTION_SECONDS:
                yield peer, statement
