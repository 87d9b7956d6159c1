"""Tasks that own a state machine."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Generic, Protocol, TypeVar

Input = TypeVar("Input", contravariant=True)
Effect = TypeVar("Effect", covariant=True)
Message = TypeVar("Message")
Action = TypeVar("Action")


class Machine(Protocol[Input, Effect]):
    """A sans-I/O state machine."""

    def receive(self, message: Input, now: float, /) -> tuple[Effect, ...]:
        """Handle one message at a monotonic time in seconds."""
        ...


class MachineTask(Generic[Message, Action]):
    """Feeds a machine one message at a time and executes its effects in order.

    An error inside a machine, for example a broken invariant, ends the task; the
    daemon then exits rather than go on with a state that must not be.

    Parameters
    ----------
    name
        Name of the task in logs.
    machine
        The machine; nothing else may touch it.
    execute
        Starts one effect; must not block.
    """

    def __init__(
        self,
        name: str,
        machine: Machine[Message, Action],
        execute: Callable[[Action], None],
    ) -> None:
        #: Name of the task in logs.
        self.name = name
        self._machine = machine
        self._execute = execute
        self._mailbox: asyncio.Queue[Message] = asyncio.Queue()

    def post(self, message: Message) -> None:
        """Put a message into the mailbox."""
        self._mailbox.put_nowait(message)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self._mailbox.get()
            for effect in self._machine.receive(message, time.monotonic()):
                self._execute(effect)


class BackgroundTasks:
    """Keeps short tasks alive until they end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the caller."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def cancel(self) -> None:
        """Cancel what still runs and wait for its end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def tick(interval: float, post: Callable[[], None]) -> None:
    """Call `post` every `interval` seconds until cancelled."""
    while True:
        await asyncio.sleep(interval)
        post()
