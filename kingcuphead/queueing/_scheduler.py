"""The scheduler: queueing, placement and quarantine behind one `receive`."""

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
from kingcuphead.quarantine import Crash, Quarantine, QuarantineEntry
from kingcuphead.queueing._backlog import get_lane
from kingcuphead.queueing._dispatch import Dispatcher
from kingcuphead.queueing._messages import (
    AnswerFinished,
    AnswerStarted,
    ConfigurationApplied,
    CrashLearnt,
    Effect,
    LoadReported,
    PeersCounted,
    ProbeAnswered,
    QuarantineLearnt,
    QuarantineReleased,
    ReleaseLearnt,
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

    Sans I/O: it takes messages with the time and returns effects. Each
    `RequestArrived` leads to one `RequestPlaced` or one `RequestRejected`, now or
    later, unless the caller hangs up first.

    Parameters
    ----------
    settings : SchedulerSettings
        Settings of the three machines.
    instance : str
        Name of this daemon's instance.
    random_source : random.Random
        Breaks ties and spreads retries.
    """

    def __init__(
        self, settings: SchedulerSettings, instance: str, random_source: random.Random
    ) -> None:
        self._instance = instance
        self._early_phase = settings.quarantine.early_phase
        self._state = SchedulerState(
            settings.queueing,
            Placement(settings.placement, random_source),
            Quarantine(settings.quarantine),
        )
        self._retries = RetryBudget(settings.queueing)
        self._refusals = Refusals(settings.queueing, random_source)
        self._dispatcher = Dispatcher(self._state)
        self._rejector = Rejector(self._state, self._refusals)

    def receive(self, message: SchedulerMessage, now: float) -> tuple[Effect, ...]:
        """Take in one message and return what follows from it.

        Parameters
        ----------
        message : SchedulerMessage
            What happened.
        now : float
            Seconds on the monotonic clock, never less than before.

        Returns
        -------
        tuple of Effect
            What the daemon has to do, in order.

        Raises
        ------
        InvariantError
            A state that the design rules out was reached.
        """
        direct = tuple(self._handle(message, now))
        placed = tuple(self._dispatcher.dispatch(now))
        late = tuple(self._give_up(message, now))
        effects = direct + placed + late
        for effect in effects:
            if isinstance(effect, RequestRejected):
                self._dispatcher.forget(effect.request_id)
        return effects

    def describe(self, now: float) -> SchedulerSnapshot:
        """Return the queues, targets and quarantined requests for operators."""
        return build_snapshot(self._instance, self._state, now)

    @property
    def targets(self) -> tuple[TargetView, ...]:
        """Every target as placement sees it."""
        return self._state.placement.views

    def list_quarantined(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the fingerprints that are not run."""
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
                self._dispatcher.forget(request_id)
            case AnswerStarted(request_id):
                self._start(request_id, now)
            case AnswerFinished():
                yield from self._finish(message, now)
            case QuarantineReleased(fingerprint):
                yield from self._state.quarantine.release(fingerprint, now)
            case CrashLearnt() | QuarantineLearnt() | ReleaseLearnt():
                self._learn(message, now)
                yield from self._rejector.reject_quarantined(now)
            case Ticked():
                yield from self._state.placement.tick(now)
                yield from self._state.quarantine.tick(now)
                yield from self._rejector.reject_quarantined(now)
            case _:
                yield from self._watch_targets(message, now)

    def _watch_targets(self, message: SchedulerMessage, now: float) -> Iterator[Effect]:
        placement = self._state.placement
        match message:
            case ConfigurationApplied(configuration):
                yield from self._apply(configuration, now)
            case LoadReported(target, running, waiting, observed_at):
                placement.report_load(target, running, waiting, observed_at, now)
            case TargetReported(target, state, source):
                yield from placement.report_state(target, state, source, now)
            case ProbeAnswered(target, is_healthy):
                yield from placement.handle_probe_reply(target, is_healthy, now)
            case PeersCounted(daemons):
                placement.set_daemon_count(daemons)

    def _apply(self, configuration: Configuration, now: float) -> Iterator[Effect]:
        ensure(
            configuration.revision >= self._state.configuration.revision,
            "a revision is only replaced by a higher one",
            applied=self._state.configuration.revision,
            offered=configuration.revision,
        )
        self._state.configuration = configuration
        yield from self._state.placement.apply_configuration(configuration, now)

    def _admit(self, request: RequestArrived, now: float) -> Iterator[Effect]:
        state = self._state
        ensure(
            request.request_id not in state.running,
            "a request is placed at most once at a time",
            request_id=request.request_id,
        )
        ensure(
            request.is_idempotent or request.execution is Execution.NOT_RUN,
            "a request that is not idempotent is never run again",
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
            state.first_seen_at[get_lane(request)] = now
        yield from self._rejector.reject_overflow(now)

    def _refuse_arrival(self, request: RequestArrived, now: float) -> Verdict | None:
        state = self._state
        if state.quarantine.is_quarantined(request.fingerprint, now):
            return self._refusals.refuse_quarantined(request)
        if state.placement.assess(state.build_query(request)) is Prospect.NONE:
            return self._refusals.refuse_without_target(request)
        if not request.is_retry:
            self._retries.earn()
            return None
        if not self._retries.spend():
            return self._refusals.refuse_retry(request)
        return None

    def _start(self, request_id: str, now: float) -> None:
        attempt = self._state.placement.get_attempt(request_id)
        if attempt is None or attempt.first_token_at is not None:
            return
        request = self._state.running[request_id]
        estimates = self._state.get_estimates(get_lane(request))
        estimate = estimates[request.work_class]
        seconds = now - attempt.placed_at
        estimates[request.work_class] = estimate.with_first_token(seconds)
        self._state.placement.record_first_token(request_id, now)

    def _finish(self, message: AnswerFinished, now: float) -> Iterator[Effect]:
        request = self._state.running.pop(message.request_id, None)
        attempt = self._state.placement.get_attempt(message.request_id)
        if request is None or attempt is None:
            # An attempt that ended before; its answer belongs to nobody.
            return
        self._state.occupancy.remove(get_lane(request), request.work_class)
        yield from self._state.placement.finish_attempt(
            message.request_id, message.target, message.result, now
        )
        match message.result:
            case AnswerResult.WHOLE:
                self._learn_service_time(request, attempt, now)
            case AnswerResult.DIED if request.fingerprint:
                yield from self._record_crash(request, attempt, now)

    def _learn_service_time(
        self, request: RequestArrived, attempt: Attempt, now: float
    ) -> None:
        self._state.quarantine.clear_suspicion(request.fingerprint)
        estimates = self._state.get_estimates(get_lane(request))
        estimate = estimates[request.work_class]
        hold = now - attempt.placed_at
        estimates[request.work_class] = estimate.with_finish(hold, request.size)

    def _record_crash(
        self, request: RequestArrived, attempt: Attempt, now: float
    ) -> Iterator[Effect]:
        first_token_at = attempt.first_token_at
        is_early = first_token_at is None or now - first_token_at < self._early_phase
        crash = Crash(request.fingerprint, attempt.target, is_early)
        yield from self._state.quarantine.record_crash(crash, now)
        yield from self._rejector.reject_quarantined(now)

    def _learn(
        self, message: CrashLearnt | QuarantineLearnt | ReleaseLearnt, now: float
    ) -> None:
        quarantine = self._state.quarantine
        match message:
            case CrashLearnt(fingerprint, target):
                quarantine.apply_peer_crash(fingerprint, target, now)
            case QuarantineLearnt(fingerprint, remaining):
                quarantine.apply_peer_quarantine(fingerprint, remaining, now)
            case ReleaseLearnt(fingerprint):
                quarantine.apply_peer_release(fingerprint, now)

    def _give_up(self, message: SchedulerMessage, now: float) -> Iterator[Effect]:
        """Reject at once the requests that can't make their deadlines."""
        match message:
            case RequestArrived(request_id):
                yield from self._rejector.reject_late_arrival(request_id, now)
            case Ticked() | TargetReported():
                yield from self._rejector.reject_late(now)
