"""Runs the background tasks of a daemon, and restarts those that fail."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from kingcuphead.entry._task_outage import GiveUp, Restart, TaskOutage
from kingcuphead.frozen import frozen
from kingcuphead.invariants import InvariantError
from kingcuphead.timing import get_time


@frozen
class BackgroundTask:
    """A task that runs until it is cancelled."""

    #: Name for logs and metrics.
    name: str
    #: Returns the coroutine to run; called again for each restart.
    run: Callable[[], Coroutine[Any, Any, None]]
    #: Whether its state can be trusted after a failure, so that it may be restarted.
    is_restartable: bool = True


class TaskEndedError(Exception):
    """A background task ended that should run until it is cancelled."""

    def __init__(self, name: str) -> None:
        super().__init__(f"the task {name} has ended")
        #: Name of the task.
        self.name = name


class TaskSupervisor:
    """Runs background tasks, and reports those that can't go on.

    A failure in one task ends no request: the task is started again. If it keeps
    failing, or its state can't be trusted, the daemon has to end, since others rely on
    what the task does.

    Parameters
    ----------
    record_failure
        Called with the name of a task after each failure.
    report_loss
        Called once with each task that is given up, and its last failure.
    """

    def __init__(
        self,
        record_failure: Callable[[str], None],
        report_loss: Callable[[BackgroundTask, Exception], None],
    ) -> None:
        self._record_failure = record_failure
        self._report_loss = report_loss
        self._running: dict[str, asyncio.Task[None]] = {}

    def start(self, task: BackgroundTask) -> None:
        """Start a task and keep it running."""
        self._running[task.name] = asyncio.create_task(self._keep_running(task))

    async def cancel(self, name: str) -> None:
        """Cancel one task and wait for its end."""
        running = self._running.pop(name)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    def close(self) -> None:
        """Cancel all tasks."""
        for running in self._running.values():
            running.cancel()

    async def _keep_running(self, task: BackgroundTask) -> None:
        outage = TaskOutage()
        while True:
            started_at = get_time()
            failure = await _run_once(task)
            self._record_failure(task.name)
            bound = logger.bind(task=task.name).opt(exception=failure)
            decision: Restart | GiveUp = GiveUp()
            if task.is_restartable and not _is_invariant_broken(failure):
                decision = outage.record_failure(started_at, get_time())
            match decision:
                case Restart(delay):
                    bound.error("background task failed; restarting in {} s", delay)
                    await asyncio.sleep(delay)
                case GiveUp():
                    bound.critical("background task failed; stopping the daemon")
                    self._report_loss(task, failure)
                    return


async def _run_once(task: BackgroundTask) -> Exception:
    """Run a task until it fails, and return its failure."""
    try:
        await task.run()
    except asyncio.CancelledError:
        current = asyncio.current_task()
        if current is not None and current.cancelling():
            raise
        # Something that the task waited for was cancelled, not the task.
    except Exception as error:
        return error
    return TaskEndedError(task.name)


def _is_invariant_broken(failure: Exception) -> bool:
    """Whether a check of the daemon's own state has failed, in a subtask perhaps."""
    if isinstance(failure, ExceptionGroup):
        return failure.subgroup(InvariantError) is not None
    return isinstance(failure, InvariantError)
