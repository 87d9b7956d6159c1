"""Grants permits to send requests to targets, on behalf of the whole fleet."""

import dataclasses
import random

from kingcuphead.frozen import frozen
from kingcuphead.permits._bucket import MIN_RATE, TokenBucket
from kingcuphead.permits._cold import NO_OWNER_WAIT, SAVED_SECONDS, ColdBounds
from kingcuphead.permits._memory import COORDINATOR_SHARE, EngineMemory, MemoryClaim
from kingcuphead.permits._room import OpenRequests, TargetRoom
from kingcuphead.permits._terms import TargetTerms
from kingcuphead.targets import get_target_name

#: Seconds after which a place may be free again.
ROOM_WAIT = 0.02

#: Seconds after which memory may be free again.
MEMORY_WAIT = 0.1

#: Seconds without a query after which what is known of a target is dropped.
ACCOUNT_LIFETIME = 60.0
#: Number of targets from which on expired accounts are looked for.
MANY_ACCOUNTS = 256


@frozen
class Decision:
    """Whether a request may be sent, or when another one may."""

    #: Whether the permit is granted.
    is_granted: bool
    #: Seconds until the next permit may be had; 0 if this one is granted.
    wait: float = 0.0
    #: Whether the daemon that decides owns a part of the permits of the target.
    is_owner: bool = True
    #: Whether the memory of the target lacks room for this request.
    is_full: bool = False


#: Decision of a daemon that owns no part of the permits of a cold target.
NO_OWNER = Decision(False, NO_OWNER_WAIT, is_owner=False)


@frozen
class PermitClaim:
    """A daemon wants to send one request to a target."""

    #: Incarnation of the target.
    target: str
    #: Its terms, as that daemon knows them.
    terms: TargetTerms
    #: Requests that the target runs at once.
    slots: int
    #: Requests that the daemon has open there, with this one.
    open_requests: OpenRequests
    #: What it holds in the memory of the target; None where that is not limited.
    memory: MemoryClaim | None = None
    #: Whether that daemon doesn't know if the target is cold.
    is_doubtful: bool = False


@dataclasses.dataclass(slots=True)
class _Account:
    """What is known of one incarnation of a target."""

    #: Permits by the rate that the target states.
    bucket: TokenBucket
    #: Open requests of all daemons, for a brittle target.
    room: TargetRoom
    #: Tokens that all daemons hold in its memory.
    memory: EngineMemory
    #: Time in seconds of the last query.
    asked_at: float


class PermitCoordinator:
    """Counts what is granted of each target; does no I/O.

    Parameters
    ----------
    rng
        Chooses when the first permit of a target is granted, so that several daemons
        that begin at the same time don't grant theirs at once.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._accounts: dict[str, _Account] = {}
        #: By name of the target: a daemon that was cut off may ask about an incarnation
        #: that another one has replaced.
        self._cold_buckets: dict[str, TokenBucket] = {}
        #: Bound on the requests to cold targets.
        self.cold_bounds = ColdBounds()

    def decide(
        self,
        claim: PermitClaim,
        share: float,
        now: float,
        memory_share: float = COORDINATOR_SHARE,
        position: int | None = None,
    ) -> Decision:
        """Grant or deny a permit for one request.

        Parameters
        ----------
        claim
            What is wanted.
        share
            Share of the target's limit that may be granted here.
        now
            Current time in seconds.
        memory_share
            Share of the target's memory that may be granted here.
        position
            Position of this daemon among those that own the permits of the target while
            it is cold; None if it owns none.
        """
        account = self._find_account(claim.target, now)
        denial = (
            self._check_cold(claim, position, now)
            or _check_memory(account.memory, claim, memory_share, now)
            or _check_room(account.room, claim, share, now)
        )
        if denial is not None:
            return denial
        decision = _decide_by_rate(account.bucket, claim.terms, share, now)
        if decision.is_granted:
            self._record_grant(account, claim, now)
        return decision

    def _record_grant(self, account: _Account, claim: PermitClaim, now: float) -> None:
        account.room.record(claim.open_requests, now)
        if claim.terms.cold_requests_per_second is not None:
            self._find_cold_bucket(claim.target, now).try_take(now)
        if claim.memory is not None:
            holder, number = claim.open_requests.holder, claim.open_requests.number
            account.memory.record(holder, claim.memory.tokens, number, now)

    def _check_cold(
        self, claim: PermitClaim, position: int | None, now: float
    ) -> Decision | None:
        """Return why a cold target takes no request now; None if it may take one."""
        limit = claim.terms.cold_requests_per_second
        if limit is None:
            return None
        if position is None or position >= self.cold_bounds.owners:
            return NO_OWNER
        bucket = self._find_cold_bucket(claim.target, now)
        bucket.apply_rate(self.cold_bounds.compute_rate(limit, position), now)
        wait = bucket.get_wait(now)
        return Decision(False, wait) if wait > 0 else None

    def record_open_requests(
        self, target: str, open_requests: OpenRequests, was_rejected: bool, now: float
    ) -> None:
        """Apply what a daemon reports of its open requests at a target."""
        room = self._find_account(target, now).room
        room.record(open_requests, now)
        if was_rejected:
            room.record_rejection(now)

    def record_memory(
        self, target: str, holder: str, tokens: int, number: int, now: float
    ) -> None:
        """Apply what a daemon reports of the tokens that it holds at a target."""
        self._find_account(target, now).memory.record(holder, tokens, number, now)

    def _find_account(self, target: str, now: float) -> _Account:
        account = self._accounts.get(target)
        if account is None:
            self._drop_expired(now)
            account = _Account(
                bucket=TokenBucket(self._rng.random(), now),
                room=TargetRoom(now),
                memory=EngineMemory(),
                asked_at=now,
            )
            self._accounts[target] = account
        account.asked_at = now
        return account

    def _find_cold_bucket(self, target: str, now: float) -> TokenBucket:
        name = get_target_name(target)
        bucket = self._cold_buckets.get(name)
        if bucket is None:
            if len(self._cold_buckets) >= MANY_ACCOUNTS:
                self._drop_full_buckets(now)
            bucket = self._cold_buckets[name] = TokenBucket(1.0, now, SAVED_SECONDS)
        return bucket

    def _drop_full_buckets(self, now: float) -> None:
        """Drop the buckets of targets that got no permit lately."""
        self._cold_buckets = {
            name: bucket
            for name, bucket in self._cold_buckets.items()
            if not bucket.is_full(now)
        }

    def _drop_expired(self, now: float) -> None:
        if len(self._accounts) < MANY_ACCOUNTS:
            return
        self._accounts = {
            target: account
            for target, account in self._accounts.items()
            if now - account.asked_at < ACCOUNT_LIFETIME
        }


def _check_memory(
    memory: EngineMemory, claim: PermitClaim, share: float, now: float
) -> Decision | None:
    """Return the denial if the memory of the target lacks room; None if it has room."""
    holder = claim.open_requests.holder
    if claim.memory is None or memory.has_room(holder, claim.memory, share, now):
        return None
    return Decision(False, MEMORY_WAIT, is_full=True)


def _check_room(
    room: TargetRoom, claim: PermitClaim, share: float, now: float
) -> Decision | None:
    """Return the denial if a brittle target has no free place; None if it has one."""
    places = max(1, int(claim.slots * share))
    if not claim.terms.is_brittle or room.has_place(claim.open_requests, places, now):
        return None
    return Decision(False, ROOM_WAIT)


def _decide_by_rate(
    bucket: TokenBucket, terms: TargetTerms, share: float, now: float
) -> Decision:
    limit = terms.requests_per_second
    if limit is None or limit == terms.cold_requests_per_second:
        return Decision(True)
    bucket.apply_rate(max(MIN_RATE, limit) * share, now)
    if bucket.try_take(now):
        return Decision(True)
    return Decision(False, bucket.get_wait(now))
