"""The task that owns the scheduler: queue, targets and quarantine of this daemon."""

import asyncio
from collections.abc import Awaitable, Callable

from expression import Error, Ok
from loguru import logger

from kingcuphead import placement, quarantine, queueing
from kingcuphead.daemon._machine_task import BackgroundTasks, MachineTask
from kingcuphead.membership import NoticeKind, NoticeRaised
from kingcuphead.pipeline import Placed
from kingcuphead.verdict import Outcome

#: Target states that peers should learn of, with the notice that tells them.
_TOLD_STATES = {
    placement.TargetState.LEAVING: NoticeKind.TARGET_LEAVING,
    placement.TargetState.SILENT: NoticeKind.TARGET_SILENT,
}


class SchedulerTask:
    """Answers the pipeline's requests for a target by way of the scheduler.

    Parameters
    ----------
    scheduler
        The machine; the task owns it.
    probe
        Asks a target at an address for its health.
    tell
        Passes a fact on to every peer.
    """

    def __init__(
        self,
        scheduler: queueing.Scheduler,
        probe: Callable[[str, str], Awaitable[bool]],
        tell: Callable[[NoticeRaised], None],
    ) -> None:
        #: The machine, to be read only.
        self.scheduler = scheduler
        self._task: MachineTask[queueing.SchedulerMessage, queueing.Effect] = (
            MachineTask("scheduler", scheduler, self._execute)
        )
        self._probe = probe
        self._tell = tell
        self._background = BackgroundTasks()
        self._waiting: dict[str, asyncio.Future[Outcome[Placed]]] = {}

    async def run(self) -> None:
        """Own the scheduler until cancelled."""
        try:
            await self._task.run()
        finally:
            await self._background.cancel()

    def post(self, message: queueing.SchedulerMessage) -> None:
        """Hand a message to the scheduler."""
        self._task.post(message)

    async def place(self, arrival: queueing.RequestArrived) -> Outcome[Placed]:
        """Wait for a target.

        Returns
        -------
        Outcome
            The target, or the verdict that refuses the request. A placed request
            must be ended by `finish`, whatever happens to it.
        """
        future: asyncio.Future[Outcome[Placed]] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[arrival.request_id] = future
        self.post(arrival)
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(arrival.request_id, future)
            raise
        finally:
            del self._waiting[arrival.request_id]

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
        """Forget a request, giving back a slot that it may have got just now."""
        self.post(queueing.RequestWithdrawn(operation_id))
        if future.done() and not future.cancelled() and future.result().is_ok():
            placed = future.result().ok
            self.finish(operation_id, placed.target, placement.AnswerResult.CANCELLED)

    def _execute(self, effect: queueing.Effect) -> None:
        match effect:
            case queueing.RequestPlaced(operation_id, target, address, priority):
                self._answer_placed(operation_id, Placed(target, address, priority))
            case queueing.RequestRejected(operation_id, verdict):
                self._answer(operation_id, Error(verdict))
            case placement.ProbeRequested(target, address):
                self._background.start(self._run_probe(target, address))
            case placement.TargetStateChanged(target, state, source):
                logger.info("target {} is {} ({})", target, state.value, source.value)
                self._tell_state(effect)
            case quarantine.CrashReported(fingerprint, target):
                self._tell(NoticeRaised(NoticeKind.TARGET_CRASHED, fingerprint, target))
            case quarantine.FingerprintQuarantined(fingerprint, remaining):
                logger.warning("request {} is quarantined", fingerprint)
                kind = NoticeKind.FINGERPRINT_QUARANTINED
                self._tell(NoticeRaised(kind, fingerprint, f"{remaining:.0f}"))
            case quarantine.FingerprintReleased(fingerprint):
                self._tell(NoticeRaised(NoticeKind.FINGERPRINT_RELEASED, fingerprint))

    def _answer_placed(self, operation_id: str, placed: Placed) -> None:
        """Hand the target over, or give the slot back if the caller has gone."""
        if not self._answer(operation_id, Ok(placed)):
            self.finish(operation_id, placed.target, placement.AnswerResult.CANCELLED)

    def _answer(self, operation_id: str, answer: Outcome[Placed]) -> bool:
        future = self._waiting.get(operation_id)
        if future is None or future.done():
            return False
        future.set_result(answer)
        return True

    def _tell_state(self, change: placement.TargetStateChanged) -> None:
        kind = _TOLD_STATES.get(change.state)
        if kind is not None and change.source is not placement.SignSource.PEER:
            self._tell(NoticeRaised(kind, change.target))

    async def _run_probe(self, target: str, address: str) -> None:
        healthy = await self._probe(target, address)
        logger.debug("probe of {}: {}", target, "healthy" if healthy else "failed")
        self.post(queueing.ProbeAnswered(target, healthy))
