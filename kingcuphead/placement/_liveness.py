"""Liveness of one target: signs from every source, probes and hysteresis."""

import dataclasses
from typing import Any

from kingcuphead.placement._settings import PlacementSettings
from kingcuphead.placement._states import AnswerResult, SignSource, TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class Liveness:
    """What is known of one target's readiness for new work.

    Times are seconds on the daemon's monotonic clock.
    """

    #: State in force.
    state: TargetState = TargetState.LIVE
    #: Whether an operator asked it to take nothing new.
    is_draining: bool = False
    #: Whether the platform's list last called it leaving or left it out.
    is_listed_leaving: bool = False
    #: When something other than the configuration last called it leaving.
    leaving_at: float = float("-inf")
    #: When it last answered this daemon.
    heard_at: float = float("-inf")
    #: Failed probes in a row.
    failures: int = 0
    #: Healthy probes in a row.
    successes: int = 0
    #: When the unanswered probe was sent; None where none is outstanding.
    probed_at: float | None = None
    #: Earliest time of the next probe.
    probe_due_at: float = float("-inf")

    @property
    def is_accepting(self) -> bool:
        """Whether the target may be given new work."""
        return self.state is TargetState.LIVE

    def with_changes(self, **changes: Any) -> "Liveness":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)

    def with_report(
        self, state: TargetState, source: SignSource, now: float
    ) -> "Liveness":
        """Take in a statement by `source` about the target's state."""
        match source:
            case SignSource.CONFIGURATION:
                return self._with_draining(state is TargetState.LEAVING, now)
            case SignSource.LIST:
                return self._with_listing(state is TargetState.LIVE, now)
            case _:
                return self._with_sign(state, source, now)

    def with_answer(
        self, result: AnswerResult, now: float, settings: PlacementSettings
    ) -> "Liveness":
        """Take in how a request on the target ended."""
        match result:
            case AnswerResult.WHOLE:
                return self.with_changes(heard_at=now)
            case AnswerResult.CANCELLED:
                return self
            case AnswerResult.REFUSED:
                heard = self.with_changes(heard_at=now)
                return heard._with_check(now + settings.refusal_pause)
            case _:
                return self._with_check(now)

    def with_probe(
        self, is_healthy: bool, now: float, settings: PlacementSettings
    ) -> "Liveness":
        """Take in the answer to a probe, or its timeout as unhealthy.

        An answer that no probe waits for is old, and proves nothing.
        """
        if self.probed_at is None:
            return self
        if is_healthy:
            return self._with_healthy_probe(now, settings)
        return self._with_failed_probe(now, settings)

    def with_timeout(self, now: float, settings: PlacementSettings) -> "Liveness":
        """Count an outstanding probe as failed once its time is over."""
        if self.probed_at is None or now - self.probed_at < settings.probe_timeout:
            return self
        return self.with_probe(False, now, settings)

    def is_probe_due(
        self, now: float, idle_interval: float, settings: PlacementSettings
    ) -> bool:
        """Tell whether to probe; `idle_interval` is in seconds, for a live target."""
        if self.probed_at is not None or now < self.probe_due_at:
            return False
        match self.state:
            case TargetState.LIVE:
                return now - self.heard_at >= idle_interval
            case TargetState.LEAVING:
                return self._may_return(now, settings)
            case _:
                return True

    def with_probe_sent(self, now: float) -> "Liveness":
        """Note that a probe was sent."""
        return self.with_changes(probed_at=now)

    def _with_draining(self, is_draining: bool, now: float) -> "Liveness":
        if is_draining:
            return self.with_changes(is_draining=True, state=TargetState.LEAVING)
        if not self.is_draining:
            return self
        shown = self.with_changes(is_draining=False, successes=0)
        if self.is_listed_leaving or self.leaving_at > float("-inf"):
            return shown
        return shown.with_changes(state=TargetState.CHECKING, probe_due_at=now)

    def _with_listing(self, is_live: bool, now: float) -> "Liveness":
        if is_live:
            # The list lags: its word alone does not end another source's sign.
            return self.with_changes(is_listed_leaving=False)
        listed = self.with_changes(is_listed_leaving=True, leaving_at=now)
        return listed.with_changes(state=TargetState.LEAVING, successes=0)

    def _with_sign(
        self, state: TargetState, source: SignSource, now: float
    ) -> "Liveness":
        match state:
            case TargetState.LEAVING:
                left = self.with_changes(leaving_at=now, successes=0)
                return left.with_changes(state=TargetState.LEAVING)
            case TargetState.SILENT if source is not SignSource.PEER:
                if self.state is TargetState.LEAVING:
                    return self
                return self.with_changes(state=TargetState.SILENT, successes=0)
            case TargetState.SILENT | TargetState.CHECKING:
                # A peer may be the one that is cut off, so this daemon looks itself.
                return self._with_check(now)
            case _:
                return self.with_changes(probe_due_at=min(self.probe_due_at, now))

    def _with_check(self, probe_due_at: float) -> "Liveness":
        if self.state is not TargetState.LIVE:
            return self
        checked = self.with_changes(state=TargetState.CHECKING, successes=0)
        # A probe sent before the failure proves nothing about the time after it.
        return checked.with_changes(
            failures=0, probed_at=None, probe_due_at=probe_due_at
        )

    def _with_healthy_probe(
        self, now: float, settings: PlacementSettings
    ) -> "Liveness":
        heard = self.with_changes(
            heard_at=now,
            failures=0,
            successes=self.successes + 1,
            probed_at=None,
            probe_due_at=now + settings.recovery_interval,
        )
        has_recovered = heard.successes >= settings.probes_to_recover
        match self.state:
            case TargetState.CHECKING:
                return heard.with_changes(state=TargetState.LIVE)
            case TargetState.SILENT if has_recovered:
                return heard.with_changes(state=TargetState.LIVE)
            case TargetState.LEAVING if self._may_return(now, settings):
                if has_recovered:
                    return heard.with_changes(
                        state=TargetState.LIVE, leaving_at=float("-inf")
                    )
                return heard
            case TargetState.LEAVING:
                return heard.with_changes(successes=0)
            case _:
                return heard

    def _with_failed_probe(self, now: float, settings: PlacementSettings) -> "Liveness":
        failed = self.with_changes(
            failures=self.failures + 1,
            successes=0,
            probed_at=None,
            probe_due_at=now + settings.check_interval,
        )
        match self.state:
            case TargetState.LIVE:
                # The second probe follows at once, so that peers hear in time.
                return failed.with_changes(state=TargetState.CHECKING, probe_due_at=now)
            case TargetState.CHECKING:
                if failed.failures < settings.failures_to_silence:
                    return failed
                return failed.with_changes(state=TargetState.SILENT)
            case _:
                return failed.with_changes(
                    probe_due_at=now + settings.recovery_interval
                )

    def _may_return(self, now: float, settings: PlacementSettings) -> bool:
        is_called_leaving = self.is_draining or self.is_listed_leaving
        return not is_called_leaving and (
            now - self.leaving_at >= settings.sticky_leaving
        )
