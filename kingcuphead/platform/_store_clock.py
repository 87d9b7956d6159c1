"""Bounds of the store's clock, as derived from its replies."""

import math
import time


class StoreClock:
    """Bounds the store's time by the times that its replies carry.

    The offset between the store's clock and the local monotonic clock is constant
    within one era of the store; the bounds begin again with each new era.
    """

    def __init__(self) -> None:
        self._era = 0
        # Bounds of the offset in milliseconds; None before the first suitable reply.
        self._lower_bound: float | None = None
        self._upper_bound: float | None = None

    def record_read(self, store_time: int, era: int) -> None:
        """Update the lower bound with a store time, in milliseconds, before now."""
        if not self._begin_era(era) or not store_time:
            return
        offset = store_time - time.monotonic() * 1000
        if self._lower_bound is None or offset > self._lower_bound:
            self._lower_bound = offset

    def record_commit(self, store_time: int, sent_at: float, era: int) -> None:
        """Update both bounds with a store time read after a call was sent.

        Replies to reads may carry an earlier time, so they give no upper bound.
        """
        self.record_read(store_time, era)
        if era != self._era or not store_time:
            return
        offset = store_time - sent_at * 1000
        if self._upper_bound is None or offset < self._upper_bound:
            self._upper_bound = offset

    def estimate_time(self) -> int | None:
        """Return a lower bound of the store's time now in milliseconds, if known."""
        if self._lower_bound is None:
            return None
        return math.floor(time.monotonic() * 1000 + self._lower_bound)

    def bound_time(self, moment: float) -> int | None:
        """Return an upper bound of the store's time in milliseconds, if known.

        Parameters
        ----------
        moment
            Local monotonic time in seconds for which the bound holds.
        """
        if self._upper_bound is None:
            return None
        return math.ceil(moment * 1000 + self._upper_bound)

    def _begin_era(self, era: int) -> bool:
        """Drop the bounds of an earlier era; return whether the era is the current."""
        if era > self._era:
            self._era = era
            self._lower_bound = self._upper_bound = None
        return era == self._era
