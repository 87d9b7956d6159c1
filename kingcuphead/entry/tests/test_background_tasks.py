import asyncio

import pytest
from loguru import logger

from kingcuphead.entry._background_tasks import (
    BackgroundTask,
    TaskEndedError,
    TaskSupervisor,
)
from kingcuphead.entry._task_outage import MAX_OUTAGE
from kingcuphead.entry.tests._fleet import CALLER_PORT, NETWORK, Fleet
from kingcuphead.entry.tests._target import LocalTarget
from kingcuphead.invariants import ensure
from kingcuphead.platform.tests._documents import make_answer, make_caller_headers


class SimulatedError(Exception):
    """A fault that a test provokes."""


async def fail():
    raise SimulatedError


async def end():
    pass


async def await_cancelled():
    waited_for = asyncio.create_task(asyncio.sleep(60))
    waited_for.cancel()
    await waited_for


async def break_invariant():
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(check_nothing())


async def check_nothing():
    ensure(False, "nothing holds")


class Recorder:
    """Supervises one task, and records what becomes of it."""

    def __init__(self, run, is_restartable=True):
        self._run = run
        self.runs = 0
        self.failures: list[str] = []
        self.lost: list[Exception] = []
        self._task = BackgroundTask("t", self._count_run, is_restartable)
        self.supervisor = TaskSupervisor(self.failures.append, self._record_loss)

    def _record_loss(self, task, failure):
        self.lost.append(failure)

    async def _count_run(self):
        self.runs += 1
        await self._run(self)

    async def play(self, seconds):
        self.supervisor.start(self._task)
        await asyncio.sleep(seconds)
        self.supervisor.close()
        await asyncio.sleep(0)


def supervise(run, seconds, is_restartable=True):
    recorder = Recorder(run, is_restartable)
    logger.disable("kingcuphead")
    try:
        asyncio.run(recorder.play(seconds))
    finally:
        logger.enable("kingcuphead")
    return recorder


class TestTaskSupervisor:
    @pytest.mark.parametrize("fault", [fail, end, await_cancelled])
    def test_a_task_that_fails_once_runs_again(self, fault):
        """Guards against tasks that are missing without a trace."""

        async def run(recorder):
            if recorder.runs == 1:
                await fault()
            else:
                await asyncio.sleep(60)

        recorder = supervise(run, 0.2)
        assert (recorder.runs, recorder.failures, recorder.lost) == (2, ["t"], [])

    @pytest.mark.parametrize(
        ("fault", "is_restartable"),
        [(break_invariant, True), (check_nothing, True), (fail, False), (end, False)],
    )
    def test_a_task_whose_state_is_uncertain_is_given_up(self, fault, is_restartable):
        """Guards against work on a state that can't be trusted any more."""

        async def run(recorder):
            await fault()

        recorder = supervise(run, 0.1, is_restartable)
        assert (recorder.runs, len(recorder.lost)) == (1, 1)

    def test_a_cancelled_task_is_not_restarted(self):
        async def run(recorder):
            await asyncio.sleep(60)

        recorder = supervise(run, 0.1)
        assert (recorder.runs, recorder.failures, recorder.lost) == (1, [], [])

    def test_the_failure_is_reported(self):
        async def run(recorder):
            await end()

        recorder = supervise(run, 0.1, is_restartable=False)
        assert isinstance(recorder.lost[0], TaskEndedError)


class SlowTarget(LocalTarget):
    """Works on a request for the seconds that its body names."""

    async def answer(self, headers, body, writer):
        await asyncio.sleep(0.0 if body == b"probe" else float(body))
        writer.write(make_answer(headers["attempt-id"], b"done"))


def run_fleet(scenario):
    async def main():
        def make_targets(register):
            return [SlowTarget(f"t{number}", "v1", register) for number in (1, 2)]

        async with asyncio.timeout(30), Fleet(make_targets, "unsafe") as fleet:
            await scenario(fleet)

    asyncio.run(main())


async def send_refused(number):
    """Send a request on a connection of its own; return the head of the answer."""
    reader, writer = await asyncio.open_connection(f"{NETWORK}.{number}", CALLER_PORT)
    fields = make_caller_headers("00000000000000ff")
    lines = ["POST /r/1 HTTP/1.1", *(f"{name}: {fields[name]}" for name in fields)]
    writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return head


class TestDaemonWithFailingTasks:
    """Guards against a fault in one message that ends all requests of a daemon.

    A load report that could not be encoded ended the daemon at once, and 16 callers
    lost requests that targets had run (issue 62).
    """

    def test_requests_and_the_daemon_outlast_one_failure(self):
        async def scenario(fleet):
            daemon, task = fleet.daemons[1]
            exchange = daemon._links._loads
            send = exchange._send
            failures: list[object] = []

            def send_once_failing(report):
                if not failures:
                    failures.append(report)
                    raise SimulatedError
                send(report)

            exchange._send = send_once_failing
            answers = [fleet.send(1, b"0.6") for _ in range(8)]
            assert set(await asyncio.gather(*answers)) == {200}
            assert failures
            assert not task.done()
            rendered = daemon._metrics.render()
            assert b'kingcuphead_task_failures_total{task="loads"} 1.0' in rendered

        run_fleet(scenario)

    def test_a_daemon_without_one_of_its_tasks_ends_gracefully(self):
        async def scenario(fleet):
            daemon, task = fleet.daemons[1]
            daemon._links._loads._list_loads = raise_error
            await asyncio.sleep(MAX_OUTAGE - 0.5)
            assert not task.done()
            answer = asyncio.create_task(fleet.send(1, b"0.9"))
            assert await answer == 200
            assert await task is False
            del fleet.daemons[1]
            assert await fleet.send(2, b"0") == 200

        run_fleet(scenario)

    def test_a_daemon_that_cannot_account_for_credit_runs_nothing_new(self):
        async def scenario(fleet):
            daemon, task = fleet.daemons[1]
            answer = asyncio.create_task(fleet.send(1, b"0.3"))
            await asyncio.sleep(0.1)
            returned: list[float] = []
            daemon._links.credit.shut_down = returned.append
            daemon._links.credit._tasks.create_task(fail())
            await daemon._stop.wait()
            await asyncio.sleep(0)
            head = await send_refused(1)
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in head
            assert await answer == 200
            assert await task is False
            assert not returned
            del fleet.daemons[1]

        run_fleet(scenario)


def raise_error():
    raise SimulatedError
