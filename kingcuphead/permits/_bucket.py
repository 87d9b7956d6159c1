"""A token bucket whose rate may change."""

#: Seconds of its rate that a bucket holds at most, beside one token.
BURST_SECONDS = 0.2
#: Tokens per second of a target that states a limit of 0 or nearly so; without any
#: request it could not state the end of the limit.
MIN_RATE = 0.2
#: Lower bound of a bucket's rate in tokens per second, which also replaces an invalid
#: rate. Daemons of another version may pass on terms that this one would not accept.
MIN_BUCKET_RATE = 0.001


class TokenBucket:
    """Counts the permits that may be granted now.

    Parameters
    ----------
    tokens
        Tokens at the beginning.
    now
        Current time in seconds.
    burst_seconds
        Seconds of its rate that the bucket holds at most, beside one token.
    """

    def __init__(
        self, tokens: float, now: float, burst_seconds: float = BURST_SECONDS
    ) -> None:
        self._tokens = tokens
        self._burst_seconds = burst_seconds
        self._rate = MIN_RATE
        self._updated_at = now

    def apply_rate(self, rate: float, now: float) -> None:
        """Change the rate in tokens per second, from now on."""
        self._fill(now)
        # With the arguments in this order, `max` also replaces NaN.
        self._rate = max(MIN_BUCKET_RATE, rate)

    def try_take(self, now: float) -> bool:
        """Take a token if there is one."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def get_wait(self, now: float) -> float:
        """Return the seconds until there is a token."""
        self._fill(now)
        return max(0.0, 1 - self._tokens) / self._rate

    def is_full(self, now: float) -> bool:
        """Whether no more tokens are added."""
        self._fill(now)
        return self._tokens >= self._capacity

    @property
    def _capacity(self) -> float:
        return 1 + self._burst_seconds * self._rate

    def _fill(self, now: float) -> None:
        earned = self._rate * max(0.0, now - self._updated_at)
        self._tokens = min(self._capacity, self._tokens + earned)
        self._updated_at = now
