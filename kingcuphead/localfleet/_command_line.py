"""Runs the operators' command-line tool and the settings check as processes."""

import asyncio
import dataclasses
import os
import sys
from pathlib import Path
from typing import Any

import msgspec

from kingcuphead.localfleet._plan import OPERATOR_TOKEN, DaemonPlan

#: Seconds until a command is killed; longer than the tool's own timeouts.
COMMAND_TIMEOUT = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit code and output of a command."""

    #: Exit code of the process.
    code: int
    #: Text written to standard output.
    output: str
    #: Text written to standard error.
    error: str

    def decode(self) -> Any:
        """Decode the output of a command that was run with `--json`."""
        return msgspec.json.decode(self.output)


class CommandError(RuntimeError):
    """A required command exited with a code other than 0."""

    def __init__(self, arguments: tuple[str, ...], result: CommandResult) -> None:
        command = " ".join(arguments)
        super().__init__(f"{command}: exit code {result.code}: {result.error}")
        #: Exit code and output of the command.
        self.result = result


async def run_command(
    daemon: DaemonPlan, arguments: tuple[str, ...], token: str = OPERATOR_TOKEN
) -> CommandResult:
    """Run a command of the tool against the operators' API of a daemon.

    Parameters
    ----------
    daemon
        Daemon that the tool connects to.
    arguments
        Command-line arguments without the name of the program.
    token
        Operator token that authenticates the command.

    Raises
    ------
    TimeoutError
        The command did not end within `COMMAND_TIMEOUT` and was killed.
    """
    environment = {
        "KINGCUPHEAD_SERVER": daemon.operator_address,
        "KINGCUPHEAD_TOKEN": token,
    }
    return await _run_module("kingcuphead.cli", arguments, environment)


async def check_settings(path: Path) -> CommandResult:
    """Check a settings file with the daemon's `--check` option."""
    return await _run_module(
        "kingcuphead.daemon", ("--config", str(path), "--check"), {}
    )


async def require_command(daemon: DaemonPlan, arguments: tuple[str, ...]) -> None:
    """Run a command and raise if it fails.

    Raises
    ------
    CommandError
        The exit code of the command is not 0.
    """
    result = await run_command(daemon, arguments)
    if result.code != 0:
        raise CommandError(arguments, result)


async def _run_module(
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
