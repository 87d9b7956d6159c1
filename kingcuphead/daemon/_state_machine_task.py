"""Task that owns a state machine, and helpers for other tasks."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Generic, Protocol, TypeVar

Input = TypeVar("Input", contravariant=True)
Effect = TypeVar("Effect", covariant=True)
Message = TypeVar("Message")
Action = TypeVar("Action")


class StateMachine(Protocol[Input, Effect]):
    """A sans-I/O state machine."""

    def receive(self, message: Input, now: float, /) -> tuple[Effect, ...]:
        """Handle one message; `now` is the monotonic time in seconds."""
        ...


class StateMachineTask(Generic[Message, Action]):
    """Passes messages to a state machine one by one and executes its effects in order.

    An exception in the state machine, for example a violated invariant, ends the task.
    The daemon then exits, so that it does not run with an invalid state.

    Parameters
    ----------
    name
        Name of the task.
    state_machine
        State machine; only this task may call it.
    execute
        Starts one effect; must not block.
    """

    def __init__(
        self,
        name: str,
        state_machine: StateMachine[Message, Action],
        execute: Callable[[Action], None],
    ) -> None:
        #: Name of the task, for diagnostics.
        self.name = name
        self._state_machine = state_machine
        self._execute = execute
        self._mailbox: asyncio.Queue[Message] = asyncio.Queue()

    def post(self, message: Message) -> None:
        """Append a message to the mailbox, which is unbounded."""
        self._mailbox.put_nowait(message)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self._mailbox.get()
            for effect in self._state_machine.receive(message, time.monotonic()):
                self._execute(effect)


class BackgroundTasks:
    """Holds references to short-lived tasks, so that they are not garbage-collected."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task and return at once."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def cancel(self) -> None:
        """Cancel the running tasks and wait until they end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def call_periodically(interval: float, callback: Callable[[], None]) -> None:
    """Call `callback` every `interval` seconds until cancelled."""
    while True:
        await asyncio.sleep(interval)
        callback()
