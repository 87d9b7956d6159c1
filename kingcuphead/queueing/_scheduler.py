"""State machine that combines queueing, placement and quarantine."""

import random
from collections import Counter
from collections.abc import Iterator, Mapping

from kingcuphead.invariants import ensure
from kingcuphead.placement import (
    AnswerResult,
    Attempt,
    Placement,
    Prospect,
    TargetView,
)
from kingcuphead.quarantine import (
    Crash,
    Quarantine,
    QuarantineEntry,
    RequestIdentity,
)
from kingcuphead.queueing._backlog import get_lane
from kingcuphead.queueing._dispatch import Dispatcher
from kingcuphead.queueing._messages import (
    AnswerFinished,
    AnswerStarted,
    ConfigurationApplied,
    DaemonsCounted,
    Effect,
    LoadReported,
    PeerCrashReported,
    PeerQuarantineReported,
    PeerReleaseReported,
    ProbeAnswered,
    QuarantineReleased,
    RequestArrived,
    RequestRejected,
    RequestWithdrawn,
    SchedulerMessage,
    TargetReported,
    Ticked,
)
from kingcuphead.queueing._refusals import Refusals
from kingcuphead.queueing._rejection import Rejector
from kingcuphead.queueing._retries import RetryBudget
from kingcuphead.queueing._settings import SchedulerSettings
from kingcuphead.queueing._snapshot import SchedulerSnapshot, build_snapshot
from kingcuphead.queueing._state import SchedulerState
from kingcuphead.records import Configuration
from kingcuphead.verdict import Execution, Verdict


class Scheduler:
    """Decides when and where each request of one daemon runs.

    Sans I/O: it receives messages with the time and returns effects. Each
    `RequestArrived` leads to one `RequestPlaced` or one `RequestRejected`, at once
    or later, unless `RequestWithdrawn` comes first.

    Parameters
    ----------
    settings : SchedulerSettings
        Settings of the three state machines.
    instance : str
        Name of this daemon's instance.
    rng : random.Random
        Breaks ties and adds jitter to retry delays.
    """

    def __init__(
        self, settings: SchedulerSettings, instance: str, rng: random.Random
    ) -> None:
        self._instance = instance
        self._early_phase = settings.quarantine.early_phase
        self._state = SchedulerState(
            settings.queueing,
            Placement(settings.placement, rng),
            Quarantine(settings.quarantine),
        )
        self._retries = RetryBudget(settings.queueing)
        self._refusals = Refusals(settings.queueing, rng)
        self._dispatcher = Dispatcher(self._state)
        self._rejector = Rejector(self._state, self._refusals)

    def receive(self, message: SchedulerMessage, now: float) -> tuple[Effect, ...]:
        """Handle one message and return the resulting effects.

        Parameters
        ----------
        message : SchedulerMessage
            Message to handle.
        now : float
            Seconds on the monotonic clock, never less than in earlier calls.

        Returns
        -------
        tuple of Effect
            Effects for the daemon to carry out, in order.

        Raises
        ------
        InvariantError
            An invariant of the state machines is violated.
        """
        direct = tuple(self._handle(message, now))
        placed = tuple(self._dispatcher.dispatch(now))
        late = tuple(self._reject_late(message, now))
        effects = direct + placed + late
        for effect in effects:
            if isinstance(effect, RequestRejected):
                self._dispatcher.discard(effect.request_id)
        return effects

    def describe(self, now: float) -> SchedulerSnapshot:
        """Return the queues, targets and quarantined requests for operators."""
        return build_snapshot(self._instance, self._state, now)

    @property
    def targets(self) -> tuple[TargetView, ...]:
        """State of every target."""
        return self._state.placement.views

    def list_quarantined(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the quarantined fingerprints."""
        return self._state.quarantine.describe(now)

    def count_queued(self) -> Mapping[str, int]:
        """Return the number of waiting requests of each class."""
        return Counter(w.request.work_class for w in self._state.backlog.iterate())

    def _handle(self, message: SchedulerMessage, now: float) -> Iterator[Effect]:
        match message:
            case RequestArrived():
                yield from self._admit(message, now)
            case RequestWithdrawn(request_id):
                self._state.backlog.remove(request_id)
                self._dispatcher.discard(request_id)
            case AnswerStarted(request_id):
                self._record_first_token(request_id, now)
            case AnswerFinished():
                yield from self._finish_attempt(message, now)
            case QuarantineReleased(fingerprint):
                yield from self._state.quarantine.release(fingerprint, now)
            case PeerCrashReported() | PeerQuarantineReported() | PeerReleaseReported():
                self._apply_peer_notice(message, now)
                yield from self._rejector.reject_quarantined(now)
            case Ticked():
                yield from self._state.placement.tick(now)
                yield from self._state.quarantine.tick(now)
                yield from self._rejector.reject_quarantined(now)
            case _:
                yield from self._handle_target_message(message, now)

    def _handle_target_message(
        self, message: SchedulerMessage, now: float
    ) -> Iterator[Effect]:
        placement = self._state.placement
        match message:
            case ConfigurationApplied(configuration):
                yield from self._apply_configuration(configuration, now)
            case LoadReported(target, running, waiting, observed_at):
                placement.report_load(target, running, waiting, observed_at, now)
            case TargetReported(target, state, source):
                yield from placement.report_state(target, state, source, now)
            case ProbeAnswered(target, is_healthy):
                yield from placement.handle_probe_reply(target, is_healthy, now)
            case DaemonsCounted(daemons):
                placement.set_daemon_count(daemons)

    def _apply_configuration(
        self, configuration: Configuration, now: float
    ) -> Iterator[Effect]:
        ensure(
            configuration.revision >= self._state.configuration.revision,
            "the applied revision does not decrease",
            applied=self._state.configuration.revision,
            offered=configuration.revision,
        )
        self._state.configuration = configuration
        yield from self._state.placement.apply_configuration(configuration, now)

    def _admit(self, request: RequestArrived, now: float) -> Iterator[Effect]:
        state = self._state
        ensure(
            request.request_id not in state.running,
            "a request has at most one attempt at a time",
            request_id=request.request_id,
        )
        ensure(
            request.is_idempotent or request.execution is Execution.NOT_RUN,
            "a request that is not idempotent is not retried once it may have run",
            request_id=request.request_id,
        )
        verdict = self._refuse_arrival(request, now)
        if verdict is not None:
            yield RequestRejected(request.request_id, verdict)
            return
        organisation = state.configuration.organisations.get(request.organisation)
        weight = organisation.weight if organisation else 1
        state.backlog.push(request, weight, now)
        if state.is_top_class(state.get_class(request)):
            state.top_class_seen_at[get_lane(request)] = now
        yield from self._rejector.reject_overflow(now)

    def _refuse_arrival(self, request: RequestArrived, now: float) -> Verdict | None:
        state = self._state
        if state.quarantine.is_quarantined(request.fingerprint, now):
            return self._refusals.refuse_quarantined(request)
        if state.placement.assess(state.build_query(request)) is Prospect.NONE:
            return self._refusals.refuse_without_target(request)
        if not request.is_retry:
            self._retries.refill()
            return None
        if not self._retries.try_spend():
            return self._refusals.refuse_retry(request)
        return None

    def _record_first_token(self, request_id: str, now: float) -> None:
        attempt = self._state.placement.get_attempt(request_id)
        if attempt is None or attempt.first_token_at is not None:
            return
        request = self._state.running[request_id]
        estimates = self._state.get_estimates(get_lane(request))
        estimate = estimates[request.work_class]
        seconds = now - attempt.placed_at
        estimates[request.work_class] = estimate.with_first_token(seconds)
        self._state.placement.record_first_token(request_id, now)

    def _finish_attempt(self, message: AnswerFinished, now: float) -> Iterator[Effect]:
        request = self._state.running.pop(message.request_id, None)
        attempt = self._state.placement.get_attempt(message.request_id)
        if request is None or attempt is None:
            # The attempt has already ended.
            return
        self._state.occupancy.remove(get_lane(request), request.work_class)
        yield from self._state.placement.finish_attempt(
            message.request_id, message.target, message.result, now
        )
        match message.result:
            case AnswerResult.WHOLE:
                self._record_completion(request, attempt, now)
            case AnswerResult.DIED if request.fingerprint:
                yield from self._record_crash(request, attempt, now)

    def _record_completion(
        self, request: RequestArrived, attempt: Attempt, now: float
    ) -> None:
        self._state.quarantine.clear_suspicion(request.fingerprint)
        estimates = self._state.get_estimates(get_lane(request))
        estimate = estimates[request.work_class]
        slot_seconds = now - attempt.placed_at
        estimates[request.work_class] = estimate.with_completion(
            slot_seconds, request.size
        )

    def _record_crash(
        self, request: RequestArrived, attempt: Attempt, now: float
    ) -> Iterator[Effect]:
        first_token_at = attempt.first_token_at
        is_early = first_token_at is None or now - first_token_at < self._early_phase
        identity = RequestIdentity(request.fingerprint)
        crash = Crash(attempt.target, identity, is_early)
        yield from self._state.quarantine.record_crash(crash, now)
        yield from self._rejector.reject_quarantined(now)

    def _apply_peer_notice(
        self,
        message: PeerCrashReported | PeerQuarantineReported | PeerReleaseReported,
        now: float,
    ) -> None:
        quarantine = self._state.quarantine
        match message:
            case PeerCrashReported(fingerprint, target):
                quarantine.apply_peer_crash(target, RequestIdentity(fingerprint), now)
            case PeerQuarantineReported(fingerprint, remaining):
                quarantine.apply_peer_quarantine(fingerprint, remaining, now)
            case PeerReleaseReported(fingerprint):
                quarantine.apply_peer_release(fingerprint, now)

    def _reject_late(self, message: SchedulerMessage, now: float) -> Iterator[Effect]:
        """Reject the requests that are expected to miss their deadlines."""
        match message:
            case RequestArrived(request_id):
                yield from self._rejector.reject_late_arrival(request_id, now)
            case Ticked() | TargetReported():
                yield from self._rejector.reject_late(now)
