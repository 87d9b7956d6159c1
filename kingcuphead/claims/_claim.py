"""State machine of one attempt at a call that must run at most once."""

import dataclasses
from typing import TypeAlias

from kingcuphead.claims._acquisition import Acquisition
from kingcuphead.claims._closing import Closing
from kingcuphead.claims._messages import (
    AnswerNotReceived,
    AnswerReceived,
    BackoffElapsed,
    ClaimClosed,
    ClaimGranted,
    ClaimRefused,
    ClaimReplayed,
    ClaimRequest,
    ClaimSettings,
    ClaimStarted,
    ClaimUnresolved,
    ClosingOutcome,
    CommitReplied,
    Decision,
    DispatchFailed,
    DispatchStarted,
    Effect,
    IoEffect,
    Message,
    ReadReplied,
    ReleaseRequested,
)
from kingcuphead.claims._rows import AnswerLost, ClaimState, Released
from kingcuphead.invariants import InvariantError


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrived:
    """Initial phase: nothing has been written."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Acquiring:
    """The claim is being written to the table."""

    acquisition: Acquisition


@dataclasses.dataclass(frozen=True, slots=True)
class _Holding:
    """The attempt holds the claim and hasn't dispatched the call."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Dispatched:
    """The call has been dispatched and may have run."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Closing:
    """The final state of the claim is being written to the table."""

    closing: Closing


@dataclasses.dataclass(frozen=True, slots=True)
class _Ended:
    """Final phase: no message is accepted any more."""


_Phase: TypeAlias = _Arrived | _Acquiring | _Holding | _Dispatched | _Closing | _Ended


class Claim:
    """State machine of one attempt, from acquiring its claim to closing it.

    A claim is granted at most once, the call is dispatched only while the claim is
    held, and a claim is never released after its call may have reached a target.

    Parameters
    ----------
    request : ClaimRequest
        The call and this attempt.
    settings : ClaimSettings
        Timeouts and retry delays.
    """

    def __init__(self, request: ClaimRequest, settings: ClaimSettings) -> None:
        self._request = request
        self._settings = settings
        self._phase: _Phase = _Arrived()

    @property
    def request(self) -> ClaimRequest:
        """The call and this attempt."""
        return self._request

    def receive(self, message: Message, now: float) -> tuple[Effect, ...]:
        """Handle a message and return the effects to carry out.

        Parameters
        ----------
        message : Message
            Reply to an effect, or an event such as the start of the dispatch.
        now : float
            Monotonic time in seconds.

        Raises
        ------
        InvariantError
            If the message isn't valid in the claim's current phase.
        """
        match self._phase, message:
            case _Arrived(), ClaimStarted():
                return self._acquire(now)
            case (
                _Acquiring(acquisition),
                CommitReplied() | ReadReplied() | BackoffElapsed(),
            ):
                return self._apply_result(acquisition.receive(message, now), now)
            case _Closing(closing), CommitReplied() | ReadReplied() | BackoffElapsed():
                return self._apply_result(closing.receive(message, now), now)
            case _Holding(version), DispatchStarted():
                return self._enter(_Dispatched(version))
            case _Dispatched(version), DispatchFailed():
                return self._enter(_Holding(version))
            case _Holding(version), ReleaseRequested():
                return self._close(Released(), version, now)
            case _Dispatched(version), AnswerReceived(answer):
                return self._close(answer, version, now)
            case _Dispatched(version), AnswerNotReceived(cause):
                return self._close(AnswerLost(cause), version, now)
            case phase, _:
                raise InvariantError(
                    "a message is valid in the claim's phase",
                    phase=phase,
                    message=message,
                )

    def _apply_result(
        self, effect: IoEffect | Decision | ClosingOutcome, now: float
    ) -> tuple[Effect, ...]:
        match effect:
            case ClaimGranted(version):
                self._phase = _Holding(version)
            case ClaimRefused(is_uncertain=True):
                # The refusal is returned at once; a claim row that the attempt may
                # have written is released in the background.
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
        final_row = self._request.row.with_state(state)
        closing = Closing(
            self._request.row_key, final_row, version, self._settings, now
        )
        self._phase = _Closing(closing)
        return (closing.start(),)

    def _enter(self, phase: _Phase) -> tuple[Effect, ...]:
        self._phase = phase
        return ()
