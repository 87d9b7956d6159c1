"""Baseline routers: a FIFO queue and two policies of target selection."""

import enum
import itertools
import math
from collections import Counter, deque
from collections.abc import Iterator

from kingcuphead.placement import StateSource, TargetState
from kingcuphead.queueing import (
    AnswerFinished,
    ConfigurationApplied,
    DaemonsCounted,
    Effect,
    LoadReported,
    RequestArrived,
    RequestPlaced,
    RequestRejected,
    RequestWithdrawn,
    SchedulerMessage,
    TargetReported,
)
from kingcuphead.records import Target
from kingcuphead.verdict import Execution, Reason, Verdict

#: Maximum number of queued requests per daemon.
QUEUE_CAPACITY = 2000


class Choice(enum.StrEnum):
    """Policy by which a baseline chooses among the targets with a free slot."""

    #: Each free target in turn.
    ROUND_ROBIN = "round robin"
    #: The free target with the fewest running and waiting requests in its last report.
    LEAST_REPORTED = "least reported load"


class FifoRouter:
    """Router with a FIFO queue; excludes targets only by the platform's instance list.

    Parameters
    ----------
    choice : Choice
        Policy of target selection.
    """

    def __init__(self, choice: Choice) -> None:
        self._choice = choice
        self._targets: dict[str, Target] = {}
        self._leaving: set[str] = set()
        self._reported: Counter[str] = Counter()
        self._in_flight: Counter[str] = Counter()
        self._queue: deque[RequestArrived] = deque()
        self._next_index = itertools.count()
        self._peers = 1

    def receive(self, message: SchedulerMessage, now: float) -> tuple[Effect, ...]:
        """Process a message and return the effects."""
        return (*self._handle(message), *self._dispatch())

    def _handle(self, message: SchedulerMessage) -> Iterator[Effect]:
        match message:
            case ConfigurationApplied(configuration):
                self._targets = dict(configuration.targets)
            case DaemonsCounted(daemons):
                self._peers = daemons
            case RequestArrived(request_id) if len(self._queue) >= QUEUE_CAPACITY:
                verdict = Verdict(Execution.NOT_RUN, Reason.QUEUE_FULL, "full", 1.0)
                yield RequestRejected(request_id, verdict)
            case RequestArrived():
                self._queue.append(message)
            case RequestWithdrawn(request_id):
                kept = (
                    entry for entry in self._queue if entry.request_id != request_id
                )
                self._queue = deque(kept)
            case AnswerFinished(_, target, _):
                self._in_flight[target] -= 1
            case LoadReported(target, running, waiting, _):
                self._reported[target] = running + waiting
            case TargetReported(target, TargetState.LEAVING, StateSource.LIST):
                self._leaving.add(target)

    def _dispatch(self) -> Iterator[Effect]:
        while self._queue:
            request = self._queue[0]
            target = self._choose(request)
            if target is None:
                return
            self._queue.popleft()
            self._in_flight[target.name] += 1
            yield RequestPlaced(request.request_id, target.name, target.address)

    def _choose(self, request: RequestArrived) -> Target | None:
        free = [
            target
            for target in self._targets.values()
            if target.name not in self._leaving
            and target.name not in request.excluded
            and self._in_flight[target.name]
            < math.ceil(target.concurrency / self._peers)
        ]
        if not free:
            return None
        if self._choice is Choice.ROUND_ROBIN:
            return free[next(self._next_index) % len(free)]
        return min(free, key=lambda target: self._reported[target.name])
