"""Requests that were answered lately, and so don't crash each target that runs them."""

from collections import OrderedDict

#: Seconds after a complete answer for which a request is not suspected.
ANSWER_LIFETIME = 60.0
#: Requests that are remembered; the one answered longest ago is evicted first.
MAX_ANSWERED = 4_096


class AnsweredRequests:
    """Remembers fingerprints of answered requests; does no I/O."""

    def __init__(self) -> None:
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    def record(self, fingerprint: str, now: float) -> None:
        """Record a complete answer."""
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)

    def is_recent(self, fingerprint: str, now: float) -> bool:
        """Return whether a request was answered within `ANSWER_LIFETIME`."""
        answered_at = self._answered_at.get(fingerprint)
        return answered_at is not None and now - answered_at <= ANSWER_LIFETIME
