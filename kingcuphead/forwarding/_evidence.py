"""Decides what the end of an attempt proves about its request."""

import asyncio

from kingcuphead.forwarding._attempt import (
    Answered,
    AttemptEnd,
    AttemptFailed,
    StreamDelivered,
)
from kingcuphead.forwarding._target_watch import TargetWatch
from kingcuphead.frozen import frozen
from kingcuphead.quarantine import QuarantineExchange, RequestIdentity
from kingcuphead.targets import Target
from kingcuphead.verdict import Execution


@frozen
class EndedAttempt:
    """An attempt that has ended, in one way or another."""

    #: What recognises the request.
    request: RequestIdentity
    #: Target that the request was sent to.
    target: Target
    #: How the attempt ended; None if it was abandoned.
    end: AttemptEnd | None
    #: Seconds since the first event of the answer; None if there was none.
    running_seconds: float | None


class EvidenceRecorder:
    """Records crashes and answers of targets for the quarantine.

    Only a target that outlives a success proves that the request is harmless. Wherever
    the end of an attempt leaves open whether the target lives, the target is watched.

    Parameters
    ----------
    quarantine
        Counts crashes and answers.
    watch
        Finds out whether targets live.
    """

    def __init__(self, quarantine: QuarantineExchange, watch: TargetWatch) -> None:
        self._quarantine = quarantine
        self._watch = watch

    def record(self, attempt: EndedAttempt) -> asyncio.Event | None:
        """Record what an attempt proves, at once or when it is known.

        Returns
        -------
        asyncio.Event or None
            Set once it is known whether the target was lost with the attempt; None if
            that is no question.
        """
        match attempt.end:
            case AttemptFailed(execution=Execution.NOT_RUN):
                return None
            case AttemptFailed(is_connection_lost=is_connection_lost):
                return self._follow(attempt, is_connection_lost)
            case None if attempt.running_seconds is not None:
                # It had been answered for a while; a crash later has another cause.
                return None
            case None:
                return self._follow(attempt, is_connection_lost=False)
            case (Answered() | StreamDelivered()) as answer if answer.head.is_unframed:
                # A crash that closes the connection ends such an answer, too.
                return self._follow(attempt, is_connection_lost=True)
            case Answered() | StreamDelivered():
                self._record_answer(attempt)
                return None

    def _follow(self, attempt: EndedAttempt, is_connection_lost: bool) -> asyncio.Event:
        return self._watch.follow(
            attempt.target,
            lambda: self._record_crash(attempt),
            lambda: self._record_answer(attempt),
            is_connection_lost=is_connection_lost,
        )

    def _record_crash(self, attempt: EndedAttempt) -> None:
        self._quarantine.record_crash(
            attempt.request, attempt.target.incarnation, attempt.running_seconds or 0.0
        )

    def _record_answer(self, attempt: EndedAttempt) -> None:
        """Count a success; a target that answers an error may not have run it.

        Nor may one that ends a stream without an event.
        """
        match attempt.end:
            case Answered(head) if head.is_success:
                self._quarantine.record_answer(attempt.request)
            case StreamDelivered() if attempt.running_seconds is not None:
                self._quarantine.record_answer(attempt.request)
