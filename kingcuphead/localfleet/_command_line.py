"""Runs the operators' command-line tool as a process."""

import asyncio
import dataclasses
import os
import sys
from pathlib import Path
from typing import Any

import msgspec

from kingcuphead.localfleet._plan import OPERATOR_TOKEN, DaemonPlan

#: Seconds that one command may take; longer than the tool's own limits.
COMMAND_TIMEOUT = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """How one command ended."""

    #: Exit code.
    code: int
    #: What it printed.
    output: str
    #: What it wrote to standard error.
    error: str

    def decode(self) -> Any:
        """Return the printed JSON of a command that ran with `--json`."""
        return msgspec.json.decode(self.output)


class CommandError(RuntimeError):
    """A command failed that had to succeed."""

    def __init__(self, arguments: tuple[str, ...], result: CommandResult) -> None:
        command = " ".join(arguments)
        super().__init__(f"{command}: exit code {result.code}: {result.error}")
        #: How it ended.
        self.result = result


async def run_command(
    daemon: DaemonPlan, arguments: tuple[str, ...], token: str = OPERATOR_TOKEN
) -> CommandResult:
    """Run one command through a daemon's operators' API.

    Parameters
    ----------
    daemon
        The daemon.
    arguments
        The command line without the program.
    token
        The operator's token.

    Raises
    ------
    TimeoutError
        The command did not end in time; it was killed.
    """
    environment = {
        "KINGCUPHEAD_SERVER": daemon.operator_address,
        "KINGCUPHEAD_TOKEN": token,
    }
    return await _run("kingcuphead.cli", arguments, environment)


async def check_settings(path: Path) -> CommandResult:
    """Let the daemon's program check a settings file."""
    return await _run("kingcuphead.daemon", ("--config", str(path), "--check"), {})


async def require_command(daemon: DaemonPlan, arguments: tuple[str, ...]) -> None:
    """Run a command that must succeed.

    Raises
    ------
    CommandError
        It did not.
    """
    result = await run_command(daemon, arguments)
    if result.code != 0:
        raise CommandError(arguments, result)


async def _run(
    module: str, arguments: tuple[str, ...], environment: dict[str, str]
) -> CommandResult:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", module, *arguments),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | environment,
    )
    try:
        output, error = await asyncio.wait_for(process.communicate(), COMMAND_TIMEOUT)
    except TimeoutError:
        process.kill()
        await process.wait()
        raise
    return CommandResult(process.returncode or 0, output.decode(), error.decode())
