"""The life of one attempt at a call that must run at most once."""

import dataclasses
from typing import TypeAlias

from kingcuphead.claims._acquisition import Acquisition
from kingcuphead.claims._closing import Closing
from kingcuphead.claims._messages import (
    AnswerMissed,
    AnswerObserved,
    ClaimClosed,
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    ClaimRequest,
    ClaimSettings,
    ClaimStarted,
    ClaimUnresolved,
    CommitAnswered,
    Decision,
    DispatchFailed,
    DispatchStarted,
    Effect,
    Ending,
    Message,
    PauseEnded,
    Query,
    ReadAnswered,
    ReleaseRequested,
)
from kingcuphead.claims._rows import AnswerLost, ClaimState, Released
from kingcuphead.invariants import InvariantError


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrived:
    """Nothing was written yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Acquiring:
    """The claim is being written."""

    acquisition: Acquisition


@dataclasses.dataclass(frozen=True, slots=True)
class _Holding:
    """The call may be dispatched by this attempt and hasn't been."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Dispatched:
    """The call may have run."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Closing:
    """The final state is being written."""

    closing: Closing


@dataclasses.dataclass(frozen=True, slots=True)
class _Ended:
    """Nothing is left to do."""


_Phase: TypeAlias = _Arrived | _Acquiring | _Holding | _Dispatched | _Closing | _Ended


class Claim:
    """State machine of one attempt: claimed, dispatched and recorded or released.

    It grants at most once, dispatches only while it holds the claim, and never
    releases a claim whose call may have reached a target. A message that doesn't
    fit the phase raises `InvariantError`.

    Parameters
    ----------
    request : ClaimRequest
        The call and the attempt.
    settings : ClaimSettings
        Times of claims.
    """

    def __init__(self, request: ClaimRequest, settings: ClaimSettings) -> None:
        self._request = request
        self._settings = settings
        self._phase: _Phase = _Arrived()

    @property
    def request(self) -> ClaimRequest:
        """The call and the attempt."""
        return self._request

    def receive(self, message: Message, now: float) -> tuple[Effect, ...]:
        """Take a message and return what to do next.

        Parameters
        ----------
        message : Message
            What happened.
        now : float
            Time in seconds.

        Raises
        ------
        InvariantError
            If the message doesn't fit the phase of the claim.
        """
        match self._phase, message:
            case _Arrived(), ClaimStarted():
                return self._acquire(now)
            case (
                _Acquiring(acquisition),
                CommitAnswered() | ReadAnswered() | PauseEnded(),
            ):
                return self._continue(acquisition.receive(message, now), now)
            case _Closing(closing), CommitAnswered() | ReadAnswered() | PauseEnded():
                return self._continue(closing.receive(message, now), now)
            case _Holding(version), DispatchStarted():
                return self._move(_Dispatched(version))
            case _Dispatched(version), DispatchFailed():
                return self._move(_Holding(version))
            case _Holding(version), ReleaseRequested():
                return self._close(Released(), version, now)
            case _Dispatched(version), AnswerObserved(answer):
                return self._close(answer, version, now)
            case _Dispatched(version), AnswerMissed(cause):
                return self._close(AnswerLost(cause), version, now)
            case phase, _:
                raise InvariantError(
                    "a message fits the claim's phase", phase=phase, message=message
                )

    def _continue(
        self, effect: Query | Decision | Ending, now: float
    ) -> tuple[Effect, ...]:
        match effect:
            case ClaimGranted(version):
                self._phase = _Holding(version)
            case ClaimRefused(is_uncertain=True):
                # The caller is answered at once; what may be left in the table
                # is undone afterwards.
                return (effect, *self._close(Released(), None, now))
            case ClaimRefused() | ClaimReplayed() | ClaimClosed() | ClaimUnresolved():
                self._phase = _Ended()
            case _:
                pass
        return (effect,)

    def _acquire(self, now: float) -> tuple[Effect, ...]:
        acquisition = Acquisition(self._request, self._settings, now)
        self._phase = _Acquiring(acquisition)
        return (acquisition.start(),)

    def _close(
        self, state: ClaimState, version: int | None, now: float
    ) -> tuple[Effect, ...]:
        target = self._request.row.with_state(state)
        closing = Closing(self._request.row_key, target, version, self._settings, now)
        self._phase = _Closing(closing)
        return (closing.start(),)

    def _move(self, phase: _Phase) -> tuple[Effect, ...]:
        self._phase = phase
        return ()
