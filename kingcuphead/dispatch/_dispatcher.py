"""Chooses the target of each request.

Requests of one shared start go to the same target from every daemon, by rendezvous
hashing, so that its prompt is read once. A target that has much to read, by the loads
of this daemon and those that others report, is left for the next, and so is one that
this daemon finds slow or failing.
"""

import hashlib
import random
from collections.abc import Callable, Collection, Iterable, Iterator

from kingcuphead.dispatch._messages import (
    AttemptResult,
    DispatchSettings,
    Work,
)
from kingcuphead.dispatch._target_state import Placement, Reading, TargetState
from kingcuphead.loads import LoadBoard, TargetLoad
from kingcuphead.targets import Target


class Dispatcher:
    """State of the choice, without input or output.

    Parameters
    ----------
    settings
        How targets are compared.
    board
        Load that other daemons put on targets.
    draw
        Source of chance for targets that are equal.
    """

    def __init__(
        self, settings: DispatchSettings, board: LoadBoard, draw: random.Random
    ) -> None:
        self._settings = settings
        self._board = board
        self._draw = draw
        self._states: dict[str, TargetState] = {}
        #: Called when a large prompt was placed, of which others should know at once.
        self.announce: Callable[[], None] | None = None

    def place(
        self,
        work: Work,
        candidates: Iterable[Target],
        excluded: Collection[str],
        now: float,
    ) -> Placement | None:
        """Choose a target and count the request there; None if there is none.

        Parameters
        ----------
        work
            What the request asks for.
        candidates
            Targets that may get new requests.
        excluded
            Names of targets that have tried it already.
        now
            Time in seconds.
        """
        usable = [target for target in candidates if target.name not in excluded]
        awake = [
            target for target in usable if not self._get(target).health.is_paused(now)
        ]
        if not usable:
            return None
        ranked = self._rank(work, awake or usable)
        readings = [self._plan_reading(work, each, ranked, now) for each in ranked]
        costs = [
            self._estimate(work, target, reading, now)
            for target, reading in zip(ranked, readings, strict=True)
        ]
        cost = min(costs)
        choice = costs.index(cost)
        best, reading = ranked[choice], readings[choice]
        state = self._get(best)
        wait = self._expect_wait(state, best, reading)
        placement = Placement(best, state, reading, now, wait, choice == 0, cost)
        state.add(placement, work, now)
        is_large = reading.unread_tokens >= self._settings.announced_tokens
        if is_large and self.announce is not None:
            self.announce()
        return placement

    def start(self, placement: Placement, now: float) -> None:
        """Take note that the answer of a request began."""
        if not placement.is_started:
            placement.is_started = True
            placement.state.start(placement, now)

    def finish(self, placement: Placement, result: AttemptResult, now: float) -> None:
        """Take note that an attempt ended; called once for each placement."""
        placement.state.remove(placement)
        placement.state.health.take_result(result, now)

    def list_loads(self) -> Iterator[TargetLoad]:
        """Yield the load of this daemon on each target that has any."""
        for name, state in self._states.items():
            if state.running:
                yield TargetLoad(name, state.running, state.unread_tokens)

    def forget(self, target: Target) -> None:
        """Forget a target that left, or an earlier life of it."""
        self._states.pop(target.name, None)

    def _rank(self, work: Work, targets: list[Target]) -> list[Target]:
        """Return the targets, those first that most likely hold the shared start."""
        key = work.shared[-1].key if work.shared else ""
        if not key:
            return self._draw.sample(targets, len(targets))
        return sorted(
            targets, key=lambda target: _score(key, target.name), reverse=True
        )

    def _plan_reading(
        self, work: Work, target: Target, ranked: list[Target], now: float
    ) -> Reading:
        """Return how a target would get the prompt.

        The home of a shared start is taken to hold it; any other target copies it from
        there. A home that this daemon has not sent it to copies from one that has it.
        """
        held = self._get(target).count_held(work, now)
        wanted = work.shared_tokens
        is_home = target is ranked[0]
        unread = work.prompt_tokens - (wanted if is_home else held)
        if wanted - held < self._settings.least_copied_tokens:
            return Reading(unread)
        if not is_home:
            return Reading(work.prompt_tokens - wanted, wanted - held, ranked[0])
        others = (each for each in ranked[1:] if self._holds(each, work, now))
        return Reading(unread, 0, next(others, None))

    def _holds(self, target: Target, work: Work, now: float) -> bool:
        return self._get(target).count_held(work, now) >= work.shared_tokens

    def _estimate(
        self, work: Work, target: Target, reading: Reading, now: float
    ) -> float:
        """Return the cost of sending a request to a target."""
        settings = self._settings
        state = self._get(target)
        seconds = self._expect_wait(state, target, reading) * state.slowness
        cost = self._weigh_wait(seconds / work.objective)
        running = state.running + self._board.get_load(target.name).running
        own_tokens = work.prompt_tokens - work.shared_tokens
        cost += (reading.unread_tokens - own_tokens) / 1000 * settings.reread_cost
        cost += reading.copied_tokens / 1000 * settings.copy_cost
        if running >= target.slots:
            cost += settings.failure_cost
        if target.zone != settings.zone:
            cost += settings.zone_cost
        return cost + state.health.get_failure_rate(now) * settings.failure_cost

    def _expect_wait(
        self, state: TargetState, target: Target, reading: Reading
    ) -> float:
        """Return the seconds to the first byte at a target of ordinary speed."""
        settings = self._settings
        others = self._board.get_load(target.name)
        waiting = state.unread_tokens + others.unread_tokens
        running = state.running + others.running
        unread = reading.unread_tokens + waiting
        seconds = unread / settings.read_tokens_per_second
        seconds += reading.copied_tokens / settings.copied_tokens_per_second
        return seconds + running * settings.running_seconds

    def _weigh_wait(self, wait: float) -> float:
        """Return the cost of a wait given in objectives."""
        share = self._settings.linear_share
        return share * wait + (1 - share) * wait * wait

    def _get(self, target: Target) -> TargetState:
        state = self._states.get(target.name)
        if state is None or state.started_at_ms != target.started_at_ms:
            state = TargetState(target.started_at_ms, self._settings)
            self._states[target.name] = state
        return state


def _score(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
