"""Command line of the daemon."""

import argparse
import asyncio
import faulthandler
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from expression import Result

from kingcuphead.daemon._daemon import Daemon
from kingcuphead.logs import set_up_logs
from kingcuphead.settings import Settings, load_settings

#: Exit status if the settings file is missing or invalid.
EXIT_SETTINGS = 2
#: Exit status after a failed task or an incomplete graceful shutdown.
EXIT_FAILURE = 1


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="kingcupheadd",
        description="Router daemon between callers and model engines.",
    )
    parser.add_argument(
        "--config", type=Path, required=True, help="INI file with the settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Load the settings, run the daemon and return its exit status."""
    options = make_parser().parse_args(arguments)
    match load_settings(options.config):
        case Result(tag="ok", ok=settings):
            return run(settings, check_only=options.check)
        case Result(error=fault):
            print(fault.message, file=sys.stderr)
    return EXIT_SETTINGS


def run(settings: Settings, *, check_only: bool) -> int:
    """Run a daemon with valid settings and return its exit status."""
    if check_only:
        print("the settings are valid")
        return 0
    set_up_logs(settings.logs, settings.instance.name)
    # On SIGUSR1, the stack of each thread is written to standard error.
    faulthandler.register(signal.SIGUSR1)
    clean = asyncio.run(_run_daemon(settings))
    return 0 if clean else EXIT_FAILURE


async def _run_daemon(settings: Settings) -> bool:
    return await Daemon(settings).run()
