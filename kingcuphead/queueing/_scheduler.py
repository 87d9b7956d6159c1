"""The scheduler: queueing, placement and quarantine behind one `receive`."""

import dataclasses
import itertools
import math
import random
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping

from kingcuphead.placement import (
    AnswerResult,
    Placement,
    PlacementQuery,
    Prospect,
    TargetView,
    encode_key,
    ensure,
)
from kingcuphead.quarantine import Crash, Quarantine, QuarantineEntry
from kingcuphead.queueing._backlog import (
    Backlog,
    ClassQueue,
    Lane,
    get_work_class,
)
from kingcuphead.queueing._estimates import ServiceEstimate
from kingcuphead.queueing._fairness import Waiting
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
    RequestArrived,
    RequestPlaced,
    RequestRejected,
    RequestWithdrawn,
    SchedulerMessage,
    TargetReported,
    Ticked,
)
from kingcuphead.queueing._occupancy import Occupancy
from kingcuphead.queueing._refusals import Refusals
from kingcuphead.queueing._retries import RetryBudget
from kingcuphead.queueing._settings import SchedulerSettings
from kingcuphead.queueing._waits import (
    ExpectedWait,
    LaneState,
    estimate_arrival,
    find_late,
)
from kingcuphead.records import Configuration, Target, WorkClass
from kingcuphead.verdict import Execution, Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """A waiting request and the target that can run it now."""

    waiting: Waiting
    query: PlacementQuery
    target: Target


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
        self.instance = instance
        self._settings = settings.queueing
        self._configuration = Configuration()
        self._placement = Placement(settings.placement, random_source)
        self._quarantine = Quarantine(settings.quarantine)
        self._early_phase = settings.quarantine.early_phase
        self._backlog = Backlog()
        self._occupancy = Occupancy()
        self._skips: Counter[str] = Counter()
        self._first_seen_at: dict[Lane, float] = {}
        self._running: dict[str, RequestArrived] = {}
        self._retries = RetryBudget(settings.queueing)
        self._refusals = Refusals(settings.queueing, random_source)
        self._estimates: defaultdict[Lane, defaultdict[str, ServiceEstimate]]
        self._estimates = defaultdict(self._create_estimates)

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
        placed = tuple(self._dispatch(now))
        return direct + placed + tuple(self._give_up(message, now))

    @property
    def targets(self) -> tuple[TargetView, ...]:
        """Every target as placement sees it."""
        return self._placement.views

    def list_quarantined(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the fingerprints that are not run."""
        return self._quarantine.describe(now)

    def count_queued(self) -> Mapping[str, int]:
        """Return the number of waiting requests of each class."""
        return Counter(w.request.work_class for w in self._backlog.iterate())

    def _handle(self, message: SchedulerMessage, now: float) -> Iterator[Effect]:
        match message:
            case RequestArrived():
                yield from self._admit(message, now)
            case RequestWithdrawn(request_id):
                self._backlog.remove(request_id)
                self._skips.pop(request_id, None)
            case AnswerStarted(request_id):
                self._start(request_id, now)
            case AnswerFinished():
                yield from self._finish(message, now)
            case CrashLearnt() | QuarantineLearnt() | QuarantineReleased():
                yield from self._learn(message, now)
            case Ticked():
                yield from self._placement.tick(now)
                yield from self._quarantine.tick(now)
                yield from self._reject_quarantined(now)
            case _:
                yield from self._watch_targets(message, now)

    def _watch_targets(self, message: SchedulerMessage, now: float) -> Iterator[Effect]:
        match message:
            case ConfigurationApplied(configuration):
                yield from self._apply(configuration, now)
            case LoadReported(target, running, waiting, observed_at):
                self._placement.report_load(target, running, waiting, observed_at, now)
            case TargetReported(target, state, source):
                yield from self._placement.report_state(target, state, source, now)
            case ProbeAnswered(target, is_healthy):
                yield from self._placement.answer_probe(target, is_healthy, now)
            case PeersCounted(daemons):
                self._placement.count_peers(daemons)

    def _apply(self, configuration: Configuration, now: float) -> Iterator[Effect]:
        ensure(
            configuration.revision >= self._configuration.revision,
            "a revision is only replaced by a higher one",
            applied=self._configuration.revision,
            offered=configuration.revision,
        )
        self._configuration = configuration
        yield from self._placement.apply(configuration, now)

    def _admit(self, request: RequestArrived, now: float) -> Iterator[Effect]:
        ensure(
            request.request_id not in self._running,
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
        organisation = self._configuration.organisations.get(request.organisation)
        weight = organisation.weight if organisation else 1
        self._backlog.push(request, weight, now)
        if self._is_first(self._get_class(request)):
            self._first_seen_at[get_lane(request)] = now
        if len(self._backlog) > self._settings.capacity:
            yield from self._evict(now)

    def _refuse_arrival(self, request: RequestArrived, now: float) -> Verdict | None:
        if self._quarantine.is_quarantined(request.fingerprint, now):
            return self._refusals.refuse_quarantined(request)
        if self._placement.assess(self._build_query(request)) is Prospect.NONE:
            return self._refusals.refuse_without_target(request)
        if not request.is_retry:
            self._retries.earn()
            return None
        if not self._retries.spend():
            return self._refusals.refuse_retry(request)
        return None

    def _evict(self, now: float) -> Iterator[Effect]:
        """Reject the last request of the least urgent queue, for a full backlog."""
        queues = self._sort_queues(now)
        last = max(queues, key=lambda entry: entry.work_class.rank)
        *_, waiting = last.queue.iterate()
        yield self._reject(
            waiting,
            self._refusals.refuse_full(waiting.request, self._get_rate(last), now),
        )

    def _start(self, request_id: str, now: float) -> None:
        attempt = self._placement.get_attempt(request_id)
        if attempt is None or attempt.started_at is not None:
            return
        request = self._running[request_id]
        estimates = self._estimates[get_lane(request)]
        seconds = now - attempt.placed_at
        estimates[request.work_class] = estimates[request.work_class].with_first_token(
            seconds
        )
        self._placement.start(request_id, now)

    def _finish(self, message: AnswerFinished, now: float) -> Iterator[Effect]:
        request = self._running.pop(message.request_id, None)
        attempt = self._placement.get_attempt(message.request_id)
        if request is None or attempt is None:
            return
        lane = get_lane(request)
        self._occupancy.remove(lane, request.work_class)
        yield from self._placement.finish(
            message.request_id, message.target, message.result, now
        )
        match message.result:
            case AnswerResult.WHOLE:
                self._quarantine.clear(request.fingerprint)
                estimates = self._estimates[lane]
                estimates[request.work_class] = estimates[
                    request.work_class
                ].with_finish(now - attempt.placed_at, request.size)
            case AnswerResult.DIED if request.fingerprint:
                started = attempt.started_at
                is_early = started is None or now - started < self._early_phase
                crash = Crash(request.fingerprint, message.target, is_early)
                yield from self._quarantine.record(crash, now)
                yield from self._reject_quarantined(now)

    def _learn(
        self,
        message: CrashLearnt | QuarantineLearnt | QuarantineReleased,
        now: float,
    ) -> Iterator[Effect]:
        match message:
            case CrashLearnt(fingerprint, target):
                yield from self._quarantine.learn_crash(fingerprint, target, now)
            case QuarantineLearnt(fingerprint, remaining):
                self._quarantine.learn_entry(fingerprint, remaining, now)
            case QuarantineReleased(fingerprint):
                yield from self._quarantine.release(fingerprint, now)
        yield from self._reject_quarantined(now)

    def _reject_quarantined(self, now: float) -> Iterator[Effect]:
        for waiting in self._backlog.iterate():
            if self._quarantine.is_quarantined(waiting.request.fingerprint, now):
                verdict = self._refusals.refuse_quarantined(waiting.request)
                yield self._reject(waiting, verdict)

    def _dispatch(self, now: float) -> Iterator[Effect]:
        """Place waiting requests until no class finds a slot."""
        while True:
            effect = next(self._place_each(now), None)
            if effect is None:
                return
            yield effect

    def _place_each(self, now: float) -> Iterator[Effect]:
        for entry in self._sort_queues(now):
            slots = self._count_slots(entry, now)
            if not self._has_class_slot(entry, slots):
                continue
            effect = self._place_one(entry, now)
            if effect is not None:
                yield effect

    def _place_one(self, entry: ClassQueue, now: float) -> Effect | None:
        """Place the request that suits a free target best, near the queue's head."""
        heads = tuple(itertools.islice(entry.queue.iterate(), self._settings.lookahead))
        for match in (self._find_cached(heads, now), self._find_free(heads, now)):
            choice = next(match, None)
            if choice is not None:
                self._count_skips(heads, choice.waiting)
                return self._place(choice, now)
        return None

    def _find_cached(
        self, heads: tuple[Waiting, ...], now: float
    ) -> Iterator["_Choice"]:
        """Yield requests whose own target is free, but none past a waiting one."""
        for waiting in heads:
            query = self._build_query(waiting.request)
            target = self._placement.choose_home(query, now)
            if target is not None:
                yield _Choice(waiting, query, target)
            if self._is_skipped_enough(waiting):
                return

    def _find_free(self, heads: tuple[Waiting, ...], now: float) -> Iterator["_Choice"]:
        """Yield requests that some target has room for."""
        for waiting in heads:
            query = self._build_query(waiting.request)
            target = self._placement.choose(query, now)
            if target is not None:
                yield _Choice(waiting, query, target)

    def _is_skipped_enough(self, waiting: Waiting) -> bool:
        skips = self._skips.get(waiting.request.request_id, 0)
        return skips >= self._settings.longest_skip

    def _count_skips(self, heads: tuple[Waiting, ...], chosen: Waiting) -> None:
        for waiting in itertools.takewhile(lambda head: head is not chosen, heads):
            self._skips[waiting.request.request_id] += 1

    def _place(self, choice: "_Choice", now: float) -> Effect:
        request = choice.waiting.request
        target = choice.target
        self._skips.pop(request.request_id, None)
        self._placement.begin(request.request_id, target.name, choice.query, now)
        self._backlog.serve(request.request_id)
        self._occupancy.add(get_lane(request), request.work_class)
        self._running[request.request_id] = request
        rank = self._get_class(request).rank
        return RequestPlaced(request.request_id, target.name, target.address, rank)

    def _give_up(self, message: SchedulerMessage, now: float) -> Iterator[Effect]:
        """Reject at once the requests that can't make their deadlines."""
        match message:
            case RequestArrived(request_id):
                waiting = self._backlog.get(request_id)
                if waiting is not None:
                    yield from self._give_up_arrival(waiting, now)
            case Ticked() | TargetReported():
                queues = self._sort_queues(now)
                for lane in dict.fromkeys(entry.lane for entry in queues):
                    lane_queues = [entry for entry in queues if entry.lane == lane]
                    yield from self._give_up_lane(lane, lane_queues, now)

    def _give_up_arrival(self, waiting: Waiting, now: float) -> Iterator[Effect]:
        lane = get_lane(waiting.request)
        queues = [entry for entry in self._sort_queues(now) if entry.lane == lane]
        state = self._describe_lane(lane)
        if not state.slots:
            return
        expected = estimate_arrival(state, queues, waiting, now)
        left = waiting.request.deadline - now
        if expected.first_token > left * self._settings.admission_margin:
            yield self._reject_late(expected, queues, now)

    def _give_up_lane(
        self, lane: Lane, queues: list[ClassQueue], now: float
    ) -> Iterator[Effect]:
        state = self._describe_lane(lane)
        if not state.slots:
            yield from self._give_up_without_slots(queues, now)
            return
        margin = self._settings.giving_up_margin
        for late in tuple(find_late(state, queues, now, margin)):
            yield self._reject_late(late, queues, now)

    def _reject_late(
        self, late: ExpectedWait, queues: list[ClassQueue], now: float
    ) -> Effect:
        name = late.waiting.request.work_class
        own = next(entry for entry in queues if entry.work_class.name == name)
        verdict = self._refusals.refuse_late(late, self._get_rate(own), now)
        return self._reject(late.waiting, verdict)

    def _sort_queues(self, now: float) -> list[ClassQueue]:
        return self._backlog.sort_queues(self._configuration.classes, now)

    def _describe_lane(self, lane: Lane) -> LaneState:
        return LaneState(
            lane,
            self._placement.count_slots(lane.service, lane.model),
            self._configuration.classes,
            self._estimates[lane],
            self._occupancy,
        )

    def _give_up_without_slots(
        self, queues: list[ClassQueue], now: float
    ) -> Iterator[Effect]:
        waiting_requests = [
            waiting for entry in queues for waiting in tuple(entry.queue.iterate())
        ]
        for waiting in waiting_requests:
            request = waiting.request
            prospect = self._placement.assess(self._build_query(request))
            if prospect is Prospect.NONE or now >= request.deadline:
                verdict = self._refusals.refuse_without_target(request)
                yield self._reject(waiting, verdict)

    def _reject(self, waiting: Waiting, verdict: Verdict) -> RequestRejected:
        request_id = waiting.request.request_id
        removed = self._backlog.remove(request_id)
        self._skips.pop(request_id, None)
        ensure(
            removed is not None,
            "each arrival gets one answer",
            request_id=request_id,
            verdict=verdict,
        )
        return RequestRejected(request_id, verdict)

    def _get_class(self, request: RequestArrived) -> WorkClass:
        return get_work_class(self._configuration.classes, request.work_class)

    def _build_query(self, request: RequestArrived) -> PlacementQuery:
        return PlacementQuery(
            request.service,
            request.model,
            encode_key(request.affinity_key),
            size=request.size,
            priority=self._get_class(request).rank,
            excluded=request.excluded,
            is_suspect=self._quarantine.is_suspect(request.fingerprint),
            is_first=self._is_first(self._get_class(request)),
        )

    def _is_first(self, work_class: WorkClass) -> bool:
        ranks = (entry.rank for entry in self._configuration.classes.values())
        return work_class.rank <= min(ranks, default=work_class.rank)

    def _has_class_slot(self, entry: ClassQueue, slots: int) -> bool:
        """Tell whether the class may take one more of the lane's slots."""
        if self._is_first(entry.work_class):
            # The limits of the targets alone bound the first class.
            return True
        lane = entry.lane
        if self._placement.count_in_flight(lane.service, lane.model) >= slots:
            return False
        classes = self._configuration.classes
        return self._occupancy.has_slot(lane, entry.work_class, slots, classes)

    def _count_slots(self, entry: ClassQueue, now: float) -> int:
        """Return the lane's slots, less those kept for the first class."""
        slots = self._placement.count_slots(entry.lane.service, entry.lane.model)
        seen_at = self._first_seen_at.get(entry.lane, float("-inf"))
        is_kept = now - seen_at < self._settings.reserve_memory
        if not is_kept or self._is_first(entry.work_class):
            return slots
        return slots - min(slots - 1, math.ceil(slots * self._settings.reserve))

    def _get_rate(self, entry: ClassQueue) -> float:
        """Return the requests of a class that its slots serve each second."""
        slots = self._placement.count_slots(entry.lane.service, entry.lane.model)
        hold = self._estimates[entry.lane][entry.work_class.name].hold
        return slots * entry.work_class.share / max(hold, 1e-3)

    def _create_estimates(self) -> defaultdict[str, ServiceEstimate]:
        hold = self._settings.initial_hold
        return defaultdict(lambda: ServiceEstimate(hold))


def get_lane(request: RequestArrived) -> Lane:
    """Return the kind of work that a request is."""
    return Lane(request.service, request.model)
