"""Liveness of one target: state reports, health probes and hysteresis."""

import dataclasses
from typing import Any

from kingcuphead.placement._settings import PlacementSettings
from kingcuphead.placement._states import AnswerResult, StateSource, TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class Liveness:
    """Whether one target accepts new requests, and the evidence for it.

    Times are seconds on the daemon's monotonic clock.
    """

    #: Current state.
    state: TargetState = TargetState.LIVE
    #: Whether the configuration drains it or no longer contains it.
    is_draining: bool = False
    #: Whether the platform's instance list last showed it as leaving or omitted it.
    is_listed_leaving: bool = False
    #: Time of the last report of leaving by a source other than the configuration.
    leaving_at: float = float("-inf")
    #: Time of the last answer to a request or probe of this daemon.
    answered_at: float = float("-inf")
    #: Consecutive failed probes.
    failures: int = 0
    #: Consecutive healthy probes.
    successes: int = 0
    #: When the outstanding probe was sent; None if there is none.
    probed_at: float | None = None
    #: Earliest time of the next probe.
    probe_due_at: float = float("-inf")

    @property
    def is_accepting(self) -> bool:
        """Whether the target may be given new requests."""
        return self.state is TargetState.LIVE

    def with_changes(self, **changes: Any) -> "Liveness":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    def with_report(
        self, state: TargetState, source: StateSource, now: float
    ) -> "Liveness":
        """Return a copy updated with a state report from `source`."""
        match source:
            case StateSource.CONFIGURATION:
                return self._with_draining(state is TargetState.LEAVING, now)
            case StateSource.LIST:
                return self._with_listing(state is TargetState.LIVE, now)
            case _:
                return self._with_reported_state(state, source, now)

    def with_answer(
        self, result: AnswerResult, now: float, settings: PlacementSettings
    ) -> "Liveness":
        """Return a copy updated with the result of a request on the target."""
        match result:
            case AnswerResult.WHOLE:
                return self.with_changes(answered_at=now)
            case AnswerResult.CANCELLED:
                return self
            case AnswerResult.REFUSED:
                answered = self.with_changes(answered_at=now)
                return answered._with_check(now + settings.refusal_backoff)
            case _:
                return self._with_check(now)

    def with_probe(
        self, is_healthy: bool, now: float, settings: PlacementSettings
    ) -> "Liveness":
        """Return a copy updated with a probe's reply; a timeout is unhealthy.

        Without an outstanding probe, the reply is stale and is ignored.
        """
        if self.probed_at is None:
            return self
        if is_healthy:
            return self._with_healthy_probe(now, settings)
        return self._with_failed_probe(now, settings)

    def with_timeout(self, now: float, settings: PlacementSettings) -> "Liveness":
        """Return a copy in which a timed-out probe counts as failed."""
        if self.probed_at is None or now - self.probed_at < settings.probe_timeout:
            return self
        return self.with_probe(False, now, settings)

    def is_probe_due(
        self, now: float, max_answer_age: float, settings: PlacementSettings
    ) -> bool:
        """Return whether to send a probe now.

        A live target is probed once its last answer is `max_answer_age` seconds old.
        """
        if self.probed_at is not None or now < self.probe_due_at:
            return False
        match self.state:
            case TargetState.LIVE:
                return now - self.answered_at >= max_answer_age
            case TargetState.LEAVING:
                return self._may_return(now, settings)
            case _:
                return True

    def with_probe_sent(self, now: float) -> "Liveness":
        """Return a copy with an outstanding probe."""
        return self.with_changes(probed_at=now)

    def _with_draining(self, is_draining: bool, now: float) -> "Liveness":
        if is_draining:
            return self.with_changes(is_draining=True, state=TargetState.LEAVING)
        if not self.is_draining:
            return self
        undrained = self.with_changes(is_draining=False, successes=0)
        if self.is_listed_leaving or self.leaving_at > float("-inf"):
            return undrained
        return undrained.with_changes(state=TargetState.CHECKING, probe_due_at=now)

    def _with_listing(self, is_live: bool, now: float) -> "Liveness":
        if is_live:
            # The list lags, so it does not override another source's report of leaving.
            return self.with_changes(is_listed_leaving=False)
        listed = self.with_changes(is_listed_leaving=True, leaving_at=now)
        return listed.with_changes(state=TargetState.LEAVING, successes=0)

    def _with_reported_state(
        self, state: TargetState, source: StateSource, now: float
    ) -> "Liveness":
        match state:
            case TargetState.LEAVING:
                leaving = self.with_changes(leaving_at=now, successes=0)
                return leaving.with_changes(state=TargetState.LEAVING)
            case TargetState.SILENT if source is not StateSource.PEER:
                if self.state is TargetState.LEAVING:
                    return self
                return self.with_changes(state=TargetState.SILENT, successes=0)
            case TargetState.SILENT | TargetState.CHECKING:
                # The peer may itself be partitioned, so this daemon probes the target.
                return self._with_check(now)
            case _:
                return self.with_changes(probe_due_at=min(self.probe_due_at, now))

    def _with_check(self, probe_due_at: float) -> "Liveness":
        if self.state is not TargetState.LIVE:
            return self
        checked = self.with_changes(state=TargetState.CHECKING, successes=0)
        # A probe sent before the failure does not show the state after it.
        return checked.with_changes(
            failures=0, probed_at=None, probe_due_at=probe_due_at
        )

    def _with_healthy_probe(
        self, now: float, settings: PlacementSettings
    ) -> "Liveness":
        answered = self.with_changes(
            answered_at=now,
            failures=0,
            successes=self.successes + 1,
            probed_at=None,
            probe_due_at=now + settings.recovery_interval,
        )
        has_recovered = answered.successes >= settings.probes_to_recover
        match self.state:
            case TargetState.CHECKING:
                return answered.with_changes(state=TargetState.LIVE)
            case TargetState.SILENT if has_recovered:
                return answered.with_changes(state=TargetState.LIVE)
            case TargetState.LEAVING if self._may_return(now, settings):
                if has_recovered:
                    return answered.with_changes(
                        state=TargetState.LIVE, leaving_at=float("-inf")
                    )
                return answered
            case TargetState.LEAVING:
                return answered.with_changes(successes=0)
            case _:
                return answered

    def _with_failed_probe(self, now: float, settings: PlacementSettings) -> "Liveness":
        failed = self.with_changes(
            failures=self.failures + 1,
            successes=0,
            probed_at=None,
            probe_due_at=now + settings.check_interval,
        )
        match self.state:
            case TargetState.LIVE:
                # The second probe follows at once, so that peers are notified in time.
                return failed.with_changes(state=TargetState.CHECKING, probe_due_at=now)
            case TargetState.CHECKING:
                if failed.failures < settings.failures_to_unresponsive:
                    return failed
                return failed.with_changes(state=TargetState.SILENT)
            case _:
                return failed.with_changes(
                    probe_due_at=now + settings.recovery_interval
                )

    def _may_return(self, now: float, settings: PlacementSettings) -> bool:
        is_reported_leaving = self.is_draining or self.is_listed_leaving
        return not is_reported_leaving and (
            now - self.leaving_at >= settings.min_leaving_seconds
        )
