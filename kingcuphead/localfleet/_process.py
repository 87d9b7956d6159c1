"""Child process of a local fleet."""

import asyncio
import signal
import sys
from pathlib import Path

#: Seconds within which a started process must accept connections.
START_TIMEOUT = 20.0
#: Seconds between two attempts to connect to a starting process.
START_INTERVAL = 0.05


class ProcessError(RuntimeError):
    """A process was not started, or ended or timed out during its start."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"process {name}: {detail}")
        #: Name of the process that failed.
        self.name = name


class LocalProcess:
    """Child process that runs a Python module.

    Parameters
    ----------
    name
        Name used in error messages and for the log file.
    module
        Module to run with `python -m`.
    arguments
        Command-line arguments of the module.
    folder
        Folder of the log file, which receives standard output and error.
    """

    def __init__(
        self, name: str, module: str, arguments: tuple[str, ...], folder: Path
    ) -> None:
        #: Name used in error messages.
        self.name = name
        self._command = (sys.executable, "-m", module, *arguments)
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
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
            The process ended, or accepted no connection within `START_TIMEOUT`.
        """
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command, stdout=log, stderr=log
            )
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT
        while not await _is_accepting(address, port):
            if not self.running:
                raise ProcessError(
                    self.name, f"ended during its start; log: {self.read_log()}"
                )
            if asyncio.get_running_loop().time() > deadline:
                raise ProcessError(self.name, f"not listening on port {port}")
            await asyncio.sleep(START_INTERVAL)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, for example `SIGSTOP`, if the process is running."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    async def wait(self, timeout: float) -> int | None:
        """Return the exit status, or None if the process does not end in time.

        `timeout` is in seconds.
        """
        if self._process is None:
            return None
        try:
            return await asyncio.wait_for(self._process.wait(), timeout)
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has exited."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def read_log(self) -> str:
        """Return the last 2000 characters of the process's log."""
        return self._log.read_text(errors="replace")[-2000:]


async def _is_accepting(address: str, port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(address, port)
    except OSError:
        return False
    writer.close()
    return True
