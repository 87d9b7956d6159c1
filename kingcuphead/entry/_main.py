"""Command-line interface of the entry daemon."""

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence

from expression import Result

from kingcuphead.capacity import TimedSelector
from kingcuphead.entry._daemon import EntryDaemon
from kingcuphead.entry._settings import DEFAULT_SETTINGS, read_settings
from kingcuphead.logs import BoundedStream, LogSettings, set_up_logs
from kingcuphead.platform import SETTINGS_VARIABLE, read_profile


def main(arguments: Sequence[str] | None = None) -> int:
    """Parse the command line and run the entry daemon until it ends.

    Returns
    -------
    int
        Exit status: 0 after a signal, 1 after a failure, 2 for invalid settings.
    """
    parser = argparse.ArgumentParser(
        prog="python -m kingcuphead.entry",
        description="Entry daemon of a kingcuphead fleet on the platform.",
    )
    parser.add_argument(
        "--profile",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        help=f"settings file of the platform (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--settings",
        default="",
        help="file with the operator's settings of the daemon (default: none)",
    )
    options = parser.parse_args(arguments)
    settings = DEFAULT_SETTINGS
    if options.settings:
        match read_settings(options.settings):
            case Result(tag="ok", ok=settings):
                pass
            case Result(error=invalid):
                print(f"settings: {invalid}", file=sys.stderr)
                return 2
    match read_profile(options.profile):
        case Result(tag="ok", ok=profile):
            set_up_logs(
                LogSettings(), profile.instance, BoundedStream(sys.stdout.fileno())
            )
            daemon = EntryDaemon(profile, options.profile, settings)
            return 0 if _run_daemon(daemon) else 1
        case Result(error=fault):
            print(f"settings: {fault.key}: {fault.cause}", file=sys.stderr)
            return 2


def _run_daemon(daemon: EntryDaemon) -> bool:
    """Run a daemon on an event loop that measures its own load."""
    selector = TimedSelector()
    daemon.observe_loop(selector)
    with asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(selector)
    ) as runner:
        return runner.run(daemon.run())
