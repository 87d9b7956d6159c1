"""One process of a local fleet."""

import asyncio
import signal
import sys
from pathlib import Path

#: Seconds that a process may take to accept connections.
START_TIMEOUT = 20.0
#: Seconds between two tries to connect to a process that starts.
START_INTERVAL = 0.05


class ProcessError(RuntimeError):
    """A process did not start, or ended when it should not."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"process {name}: {detail}")
        #: Name of the process.
        self.name = name


class LocalProcess:
    """A Python module that runs as a process of its own.

    Parameters
    ----------
    name
        Name in messages and of the log file.
    module
        Module to run.
    arguments
        Its arguments.
    folder
        Where its log goes.
    """

    def __init__(
        self, name: str, module: str, arguments: tuple[str, ...], folder: Path
    ) -> None:
        #: Name in messages.
        self.name = name
        self._command = (sys.executable, "-m", module, *arguments)
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether the process has started and not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Process id.

        Raises
        ------
        ProcessError
            The process was never started.
        """
        if self._process is None:
            raise ProcessError(self.name, "was not started")
        return self._process.pid

    async def start(self, address: str, port: int) -> None:
        """Start the process and wait until it accepts connections.

        Raises
        ------
        ProcessError
            It ended, or did not listen in time.
        """
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command, stdout=log, stderr=log
            )
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT
        while not await _accepts(address, port):
            if not self.running:
                raise ProcessError(self.name, f"ended at start: {self.read_log()}")
            if asyncio.get_running_loop().time() > deadline:
                raise ProcessError(self.name, "does not listen")
            await asyncio.sleep(START_INTERVAL)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, for example `SIGSTOP`, if the process runs."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    async def wait(self, timeout: float) -> int | None:
        """Return the exit status, or None if the process still runs by then."""
        if self._process is None:
            return None
        try:
            return await asyncio.wait_for(self._process.wait(), timeout)
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def read_log(self) -> str:
        """Return the end of the process's log."""
        return self._log.read_text(errors="replace")[-2000:]


async def _accepts(address: str, port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(address, port)
    except OSError:
        return False
    writer.close()
    return True
