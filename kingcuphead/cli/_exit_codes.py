"""Exit codes of the command-line tool."""

import enum

from kingcuphead.operators import FaultKind


class ExitCode(enum.IntEnum):
    """Outcome of a command, for scripts."""

    #: The command took effect, or its result was printed.
    OK = 0
    #: The daemon refused the command; nothing was changed.
    REFUSED = 1
    #: The command line was wrong; nothing was sent.
    USAGE = 2
    #: The command conflicts with an earlier change; nothing was changed.
    CONFLICT = 3
    #: The daemon or the platform was not reached; nothing was changed.
    UNREACHABLE = 4
    #: The command may have taken effect; it can be repeated with the printed id.
    UNCERTAIN = 5


class CheckStatus(enum.IntEnum):
    """Outcome of checking a configuration file, for scripts."""

    #: No finding.
    CLEAN = 0
    #: Warnings only, or a difference that takes something away from callers.
    WARNINGS = 1
    #: At least one error.
    ERRORS = 2


#: Exit code by kind of fault; all other kinds exit with `REFUSED`.
EXIT_CODES = {
    FaultKind.CONFLICT: ExitCode.CONFLICT,
    FaultKind.UNAVAILABLE: ExitCode.UNREACHABLE,
    FaultKind.UNCERTAIN: ExitCode.UNCERTAIN,
}
