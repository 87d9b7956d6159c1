"""Chooses the target of each request.

Requests of one shared start go to the same target from every daemon, by rendezvous
hashing, so that its prompt is read once. A target that has much to read, by the loads
of this daemon and those that others report, is left for the next, and so is one that
this daemon finds slow or failing.
"""

import hashlib
import random
from collections.abc import Collection, Iterable, Iterator

from kingcuphead.dispatch._messages import (
    AttemptResult,
    DispatchSettings,
    Work,
)
from kingcuphead.dispatch._target_state import Placement, TargetState
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
        home = ranked[0].name
        costs = [self._estimate(work, target, home, now) for target in ranked]
        cost = min(costs)
        best = ranked[costs.index(cost)]
        state = self._get(best)
        is_home = best.name == home
        unread = state.count_unread(work, is_home, now)
        wait = self._expect_wait(state, best, unread)
        placement = Placement(best, state, unread, now, wait, is_home, cost)
        state.add(placement, work, now)
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

    def _estimate(self, work: Work, target: Target, home: str, now: float) -> float:
        """Return the cost of sending a request to a target."""
        settings = self._settings
        state = self._get(target)
        unread = state.count_unread(work, is_home=target.name == home, now=now)
        seconds = self._expect_wait(state, target, unread) * state.slowness
        cost = self._weigh_wait(seconds / work.objective)
        running = state.running + self._board.get_load(target.name).running
        own_tokens = work.prompt_tokens - work.shared_tokens
        cost += (unread - own_tokens) / 1000 * settings.reread_cost
        if running >= target.slots:
            cost += settings.failure_cost
        if target.zone != settings.zone:
            cost += settings.zone_cost
        return cost + state.health.get_failure_rate(now) * settings.failure_cost

    def _expect_wait(self, state: TargetState, target: Target, unread: int) -> float:
        """Return the seconds to the first byte at a target of ordinary speed."""
        settings = self._settings
        others = self._board.get_load(target.name)
        waiting = state.unread_tokens + others.unread_tokens
        running = state.running + others.running
        reading = (unread + waiting) / settings.read_tokens_per_second
        return reading + running * settings.running_seconds

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
