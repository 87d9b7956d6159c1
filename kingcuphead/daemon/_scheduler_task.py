"""Task that owns the scheduler: queue, targets and quarantine of this daemon."""

import asyncio
from collections.abc import Awaitable, Callable

from expression import Error, Ok
from loguru import logger

from kingcuphead import placement, quarantine, queueing
from kingcuphead.daemon._state_machine_task import BackgroundTasks, StateMachineTask
from kingcuphead.membership import NoticeKind, NoticeRaised
from kingcuphead.pipeline import Placed
from kingcuphead.verdict import Outcome

#: Kind of the notice that gossip spreads for a target state; no other state is spread.
_NOTICE_KINDS = {
    placement.TargetState.LEAVING: NoticeKind.TARGET_LEAVING,
    placement.TargetState.SILENT: NoticeKind.TARGET_SILENT,
}


class SchedulerTask:
    """Runs the scheduler state machine and completes the pipeline's placements.

    Parameters
    ----------
    scheduler
        State machine; only this task may send it messages.
    probe
        Returns whether a target, given its name and address, is healthy.
    raise_notice
        Raises a notice that gossip spreads to every peer.
    """

    def __init__(
        self,
        scheduler: queueing.Scheduler,
        probe: Callable[[str, str], Awaitable[bool]],
        raise_notice: Callable[[NoticeRaised], None],
    ) -> None:
        #: The state machine, for reading its state only.
        self.scheduler = scheduler
        self._task: StateMachineTask[queueing.SchedulerMessage, queueing.Effect] = (
            StateMachineTask("scheduler", scheduler, self._execute)
        )
        self._probe = probe
        self._raise_notice = raise_notice
        self._background = BackgroundTasks()
        self._placement_futures: dict[str, asyncio.Future[Outcome[Placed]]] = {}

    async def run(self) -> None:
        """Handle messages until cancelled, then cancel the running probes."""
        try:
            await self._task.run()
        finally:
            await self._background.cancel()

    def post(self, message: queueing.SchedulerMessage) -> None:
        """Queue a message for the scheduler."""
        self._task.post(message)

    async def place(self, arrival: queueing.RequestArrived) -> Outcome[Placed]:
        """Wait for a slot on a target.

        Returns
        -------
        Outcome
            The target, or the verdict of the refusal. Each placed request must be
            ended by `finish`, whatever its result.
        """
        future: asyncio.Future[Outcome[Placed]] = (
            asyncio.get_running_loop().create_future()
        )
        self._placement_futures[arrival.request_id] = future
        self.post(arrival)
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(arrival.request_id, future)
            raise
        finally:
            del self._placement_futures[arrival.request_id]

    def start(self, operation_id: str) -> None:
        """Report the first token of an answer."""
        self.post(queueing.AnswerStarted(operation_id))

    def finish(
        self, operation_id: str, target: str, result: placement.AnswerResult
    ) -> None:
        """Report the end of an attempt on a target."""
        self.post(queueing.AnswerFinished(operation_id, target, result))

    def _withdraw(
        self, operation_id: str, future: "asyncio.Future[Outcome[Placed]]"
    ) -> None:
        """Withdraw a request; free its slot if it was placed in the meantime."""
        self.post(queueing.RequestWithdrawn(operation_id))
        if future.done() and not future.cancelled() and future.result().is_ok():
            placed = future.result().ok
            self.finish(operation_id, placed.target, placement.AnswerResult.CANCELLED)

    def _execute(self, effect: queueing.Effect) -> None:
        match effect:
            case queueing.RequestPlaced(operation_id, target, address, priority):
                self._deliver_placement(operation_id, Placed(target, address, priority))
            case queueing.RequestRejected(operation_id, verdict):
                self._complete_placement(operation_id, Error(verdict))
            case placement.ProbeRequested(target, address):
                self._background.start(self._run_probe(target, address))
            case placement.TargetStateChanged(target, state, source):
                logger.info(
                    "target {} is {} (source: {})", target, state.value, source.value
                )
                self._raise_state_notice(effect)
            case quarantine.CrashReported(target, request):
                kind = NoticeKind.TARGET_CRASHED
                self._raise_notice(NoticeRaised(kind, request.fingerprint, target))
            case quarantine.FingerprintQuarantined(fingerprint, remaining):
                logger.warning("quarantined the request fingerprint {}", fingerprint)
                kind = NoticeKind.FINGERPRINT_QUARANTINED
                self._raise_notice(NoticeRaised(kind, fingerprint, f"{remaining:.0f}"))
            case quarantine.FingerprintReleased(fingerprint):
                self._raise_notice(
                    NoticeRaised(NoticeKind.FINGERPRINT_RELEASED, fingerprint)
                )

    def _deliver_placement(self, operation_id: str, placed: Placed) -> None:
        """Complete the placement, or free the slot if it is no longer awaited."""
        if not self._complete_placement(operation_id, Ok(placed)):
            self.finish(operation_id, placed.target, placement.AnswerResult.CANCELLED)

    def _complete_placement(self, operation_id: str, outcome: Outcome[Placed]) -> bool:
        future = self._placement_futures.get(operation_id)
        if future is None or future.done():
            return False
        future.set_result(outcome)
        return True

    def _raise_state_notice(self, change: placement.TargetStateChanged) -> None:
        kind = _NOTICE_KINDS.get(change.state)
        if kind is not None and change.source is not placement.StateSource.PEER:
            self._raise_notice(NoticeRaised(kind, change.target))

    async def _run_probe(self, target: str, address: str) -> None:
        healthy = await self._probe(target, address)
        logger.debug("probe of {}: {}", target, "healthy" if healthy else "failed")
        self.post(queueing.ProbeAnswered(target, healthy))
