"""Tells which calls are lost once the platform replies again after an outage."""

import asyncio
import dataclasses
from collections.abc import Iterator

#: Seconds without any reply after which a reply ends an outage. A daemon polls tables
#: each second.
OUTAGE_SECONDS = 1.0
#: Seconds by which a call has to be overdue to be lost.
MIN_OVERDUE_SECONDS = 0.25
#: A lost call has waited longer than this number of times the answered call. While the
#: platform is slow, all calls take about the same time.
OVERDUE_FACTOR = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class PendingCall:
    """A call that has no reply yet."""

    #: Time in seconds at which it was sent.
    sent_at: float
    #: Done when the call is given up.
    lost: asyncio.Future[None]
    #: Whether the platform was silent when it was sent.
    is_doubtful: bool = False


class PendingCalls:
    """The calls of one client that have no reply yet; does no I/O.

    A call that was sent during an outage often gets no reply after its end either: the
    platform never saw it, or its connection is broken.
    """

    def __init__(self) -> None:
        self._calls: set[PendingCall] = set()
        # Without a reply before, nothing tells an outage from a slow start.
        self._replied_at = float("inf")

    def begin(self, call: PendingCall) -> None:
        """Add a call that is sent now."""
        self._calls.add(call)

    def end(self, call: PendingCall) -> None:
        """Remove a call that was answered, failed or was given up."""
        self._calls.discard(call)

    def record_reply(self, sent_at: float, now: float) -> Iterator[PendingCall]:
        """Yield the calls that are lost, as a later one was answered.

        Parameters
        ----------
        sent_at
            Time in seconds at which the answered call was sent.
        now
            Time in seconds at which its reply arrived.
        """
        ends_outage = now - self._replied_at >= OUTAGE_SECONDS
        self._replied_at = now
        allowed = MIN_OVERDUE_SECONDS + OVERDUE_FACTOR * (now - sent_at)
        for call in self._calls:
            call.is_doubtful = call.is_doubtful or ends_outage
            if call.is_doubtful and now - call.sent_at > allowed:
                yield call
