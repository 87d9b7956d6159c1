"""Requests that were lost with a target while others of it may be the cause."""

import dataclasses
from collections.abc import Iterator

from kingcuphead.frozen import frozen
from kingcuphead.quarantine._subjects import RequestIdentity


@frozen
class LostRequest:
    """A request that was lost with a target."""

    #: Incarnation of the target.
    target: str
    #: The request.
    request: RequestIdentity


@frozen
class _PendingCrash:
    """Requests of one target that were lost within one window."""

    #: When the first of them was lost, in seconds on the monotonic clock.
    began_at: float
    #: Whether one of the requests was in its early phase.
    has_early: bool = False
    #: The requests that were past their early phase.
    late: tuple[RequestIdentity, ...] = ()


class PendingCrashes:
    """Holds back requests past their early phase; does no I/O.

    They are suspected only if no request in its early phase was lost with the target.

    Parameters
    ----------
    window
        Seconds within which the losses of one target count as one crash.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._crashes: dict[str, _PendingCrash] = {}

    def __contains__(self, fingerprint: str) -> bool:
        return any(
            request.fingerprint == fingerprint
            for crash in self._crashes.values()
            for request in crash.late
        )

    def note_early(self, target: str, now: float) -> None:
        """Note that a request in its early phase was lost with a target."""
        crash = self._get(target, now)
        self._crashes[target] = dataclasses.replace(crash, has_early=True)

    def hold_back(self, lost: LostRequest, now: float) -> None:
        """Hold back a request that was past its early phase."""
        crash = self._get(lost.target, now)
        late = (*crash.late, lost.request)
        self._crashes[lost.target] = dataclasses.replace(crash, late=late)

    def resolve(self, now: float) -> Iterator[LostRequest]:
        """Yield the requests that are suspected after all."""
        for target, crash in tuple(self._crashes.items()):
            if now - crash.began_at < self._window:
                continue
            del self._crashes[target]
            if crash.has_early:
                continue
            for request in dict.fromkeys(crash.late):
                yield LostRequest(target, request)

    def _get(self, target: str, now: float) -> _PendingCrash:
        crash = self._crashes.get(target)
        if crash is None or now - crash.began_at > self._window:
            return _PendingCrash(now)
        return crash
