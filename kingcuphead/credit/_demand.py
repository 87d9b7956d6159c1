"""How much credit one organisation's requests need in a daemon."""

import math

#: Time constant, in seconds, of the average that follows a daemon that becomes busy.
FAST_PERIOD_SECONDS = 1.5
#: Requests within that time below which its average is too noisy to be used.
MIN_FAST_REQUESTS = 10.0
#: Minimum seconds over which demand is averaged after an organisation's first request.
MIN_OBSERVATION_SECONDS = 2.0
#: Time constant, in seconds, of the share of the organisation's spend.
SPEND_PERIOD_SECONDS = 20.0


class _DecayingSum:
    """A sum whose parts decay exponentially with their age."""

    def __init__(self, period: float) -> None:
        self._period = period
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the time `now`."""
        self._value = self.get(now) + amount
        self._updated_at = now

    def subtract(self, amount: float, added_at: float, now: float) -> None:
        """Subtract a part of an amount that was added earlier."""
        decayed = amount * math.exp((added_at - now) / self._period)
        self._value = max(0.0, self.get(now) - decayed)
        self._updated_at = now

    def get(self, now: float) -> float:
        """Return the sum at the time `now`."""
        elapsed = max(0.0, now - self._updated_at)
        return self._value * math.exp(-elapsed / self._period)


class Demand:
    """Tokens per second that requests need, as a moving average.

    Parameters
    ----------
    period
        Time constant of the average, in seconds.
    """

    def __init__(self, period: float) -> None:
        self._period = period
        self._slow = _DecayingSum(period)
        self._fast = _DecayingSum(FAST_PERIOD_SECONDS)
        self._fast_requests = _DecayingSum(FAST_PERIOD_SECONDS)
        self._first_at: float | None = None

    def record(self, tokens: int, now: float) -> None:
        """Add the tokens of a new request."""
        if self._first_at is None:
            self._first_at = now
        self._slow.add(tokens, now)
        self._fast.add(tokens, now)
        self._fast_requests.add(1.0, now)

    def correct(self, unspent: int, requested_at: float, now: float) -> None:
        """Subtract the tokens that a request asked for and did not spend."""
        self._slow.subtract(unspent, requested_at, now)
        self._fast.subtract(unspent, requested_at, now)

    def get_rate(self, now: float) -> float:
        """Return the tokens per second.

        The faster of two averages counts if it is the higher one, so that a daemon that
        becomes busy has credit when the store is lost soon after.
        """
        if self._first_at is None:
            return 0.0
        age = max(MIN_OBSERVATION_SECONDS, now - self._first_at)
        observed = 1 - math.exp(-age / self._period)
        slow = self._slow.get(now) / self._period / observed
        if self._fast_requests.get(now) < MIN_FAST_REQUESTS:
            return slow
        return max(slow, self._fast.get(now) / FAST_PERIOD_SECONDS)


class SpendShare:
    """Share of one daemon in what all daemons recorded lately as spent."""

    def __init__(self) -> None:
        self._own = _DecayingSum(SPEND_PERIOD_SECONDS)
        self._total = _DecayingSum(SPEND_PERIOD_SECONDS)
        self._last: tuple[int, int] | None = None

    def record(self, own: int, total: int, now: float) -> None:
        """Record what this daemon and all daemons have recorded as spent so far."""
        last, self._last = self._last, (own, total)
        # The total falls when the store is restored from a copy.
        if last is not None and total >= last[1]:
            self._own.add(own - last[0], now)
            self._total.add(total - last[1], now)

    def get(self, prior: float, now: float) -> float:
        """Return the share.

        Parameters
        ----------
        prior
            Tokens that other daemons are assumed to have spent, in addition to those
            that were recorded.
        now
            Time in seconds.
        """
        share = self._own.get(now) / max(1.0, prior + self._total.get(now))
        return min(1.0, max(0.0, share))
