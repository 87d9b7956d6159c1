"""Distribution of the times that attempts take, with more weight on recent ones."""

import math

#: Upper bound in seconds of the first bucket.
FIRST_BOUND = 0.001
#: Ratio of the upper bounds of two successive buckets.
BOUND_RATIO = 1.15
#: Number of buckets; the last one covers everything above 60 s.
BUCKETS = 80
#: Weight of all observations at which the weight of each is halved.
MAX_WEIGHT = 400.0


class AnswerHistogram:
    """Counts times in buckets of fixed bounds; old observations lose weight."""

    def __init__(self) -> None:
        self._weights = [0.0] * BUCKETS
        #: Weight of all observations.
        self.weight = 0.0

    def record(self, seconds: float) -> None:
        """Add one observation."""
        if self.weight >= MAX_WEIGHT:
            self._weights = [weight / 2 for weight in self._weights]
            self.weight /= 2
        self._weights[_find_bucket(seconds)] += 1
        self.weight += 1

    def estimate_quantile(self, share: float) -> float:
        """Return a time that at least this share of the observations didn't exceed.

        It is the upper bound of a bucket, so that it is rather too long.
        """
        rest = share * self.weight
        for bucket, weight in enumerate(self._weights):
            rest -= weight
            if rest <= 0 and weight:
                return _get_bound(bucket)
        return math.inf


def _find_bucket(seconds: float) -> int:
    if seconds <= FIRST_BOUND:
        return 0
    bucket = math.ceil(math.log(seconds / FIRST_BOUND, BOUND_RATIO))
    return min(bucket, BUCKETS - 1)


def _get_bound(bucket: int) -> float:
    if bucket == BUCKETS - 1:
        return math.inf
    return FIRST_BOUND * BOUND_RATIO**bucket
