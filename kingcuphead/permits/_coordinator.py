"""Grants permits to send requests to targets, on behalf of the whole fleet."""

import dataclasses
import random

from kingcuphead.permits._bucket import MIN_RATE, TokenBucket
from kingcuphead.permits._terms import TargetTerms

#: Seconds without a question after which what is known of a target is dropped.
ACCOUNT_LIFETIME = 60.0
#: Number of targets from which on expired accounts are looked for.
MANY_ACCOUNTS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request may be sent, or when another one may."""

    #: Whether the permit is granted.
    is_granted: bool
    #: Seconds until the next permit may be had; 0 if this one is granted.
    wait: float = 0.0


@dataclasses.dataclass(slots=True)
class _Account:
    bucket: TokenBucket
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

    def decide(
        self, target: str, terms: TargetTerms, share: float, now: float
    ) -> Decision:
        """Grant or deny a permit for one request.

        Parameters
        ----------
        target
            Incarnation of the target.
        terms
            Its terms, as the asking daemon knows them.
        share
            Share of what the target takes that may be granted here.
        now
            Current time in seconds.
        """
        if terms.requests_per_second is None:
            return Decision(True)
        bucket = self._find_account(target, now).bucket
        bucket.apply_rate(max(MIN_RATE, terms.requests_per_second) * share, now)
        if bucket.try_take(now):
            return Decision(True)
        return Decision(False, bucket.get_wait(now))

    def _find_account(self, target: str, now: float) -> _Account:
        account = self._accounts.get(target)
        if account is None:
            self._drop_expired(now)
            account = _Account(TokenBucket(self._rng.random(), now), now)
            self._accounts[target] = account
        account.asked_at = now
        return account

    def _drop_expired(self, now: float) -> None:
        if len(self._accounts) < MANY_ACCOUNTS:
            return
        self._accounts = {
            target: account
            for target, account in self._accounts.items()
            if now - account.asked_at < ACCOUNT_LIFETIME
        }
