"""When the outage reserve of one organisation is released for use."""

import math

from kingcuphead.credit._contact import StoreContact
from kingcuphead.credit._messages import CreditSettings
from kingcuphead.credit._stamp import ReserveStamp


class ReserveRelease:
    """Computes how much of the reserve is released while the store doesn't answer.

    The release begins when the store stops answering, whichever organisation's call
    shows it, but not before the time of any stamp that makes the reserve reclaimable.

    Parameters
    ----------
    settings
        Delay and period of the release.
    contact
        When the store last answered this daemon.
    stamp
        Stamp of this daemon, for all organisations.
    """

    def __init__(
        self, settings: CreditSettings, contact: StoreContact, stamp: ReserveStamp
    ) -> None:
        self._settings = settings
        self._contact = contact
        self._stamp = stamp
        #: Time in seconds of the first transaction sent after the last one known to be
        #: committed; None if there is none.
        self._unconfirmed_since: float | None = None
        #: Time in seconds at which the last committed transaction was planned.
        self._confirmed_at = float("-inf")
        self._planned_at = float("-inf")

    def record_transaction(self, now: float) -> None:
        """Record that a transaction is sent."""
        self._planned_at = now
        if self._unconfirmed_since is None:
            self._unconfirmed_since = now

    def record_commit(self) -> None:
        """Record that the transaction that was sent last is committed."""
        self._confirmed_at = self._planned_at
        self._unconfirmed_since = None

    def compute_stamp(self, now: float, store_time: int | None) -> int:
        """Return the stamp of a holder row in milliseconds of the store's time.

        It is that of the first transaction that isn't known to be committed, or of an
        earlier call without an answer, from which a release counts until this row is
        known to be committed. It is 0 if the store's time isn't known.
        """
        if store_time is None:
            return 0
        calls = self._unconfirmed_since, self._contact.silent_since
        since = min((each for each in calls if each is not None), default=now)
        return store_time - math.ceil((now - since) * 1000)

    def get_share(self, now: float) -> float:
        """Return the share of the reserve that is released at the time `now`."""
        start = self._find_start()
        if start is None:
            return 0.0
        age = now - start - self._settings.clock_margin
        return self._settings.get_released_share(age)

    def get_wait(self, share: float, now: float) -> float:
        """Return the seconds until a share of the reserve is released.

        It is infinite for a share above 1, or while the store answers.
        """
        start = self._find_start()
        if start is None or share > 1:
            return math.inf
        settings = self._settings
        delay = settings.clock_margin + settings.release_delay
        return start + delay + share * settings.release_period - now

    def _find_start(self) -> float | None:
        """Return the time in seconds from which a release counts, or None."""
        times = []
        if self._unconfirmed_since is not None:
            times.append(self._unconfirmed_since)
        if self._contact.silent_since is not None:
            times.append(max(self._contact.silent_since, self._confirmed_at))
        if not times:
            return None
        return max(min(times), self._stamp.release_bound)
