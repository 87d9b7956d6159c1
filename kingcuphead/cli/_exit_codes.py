"""Exit codes of the tool."""

import enum

from kingcuphead.operators import FaultKind


class ExitCode(enum.IntEnum):
    """What a script can tell from the tool's end."""

    #: The command took effect, or its answer was shown.
    OK = 0
    #: The daemon refused the command; nothing was changed.
    REFUSED = 1
    #: The command line was wrong; nothing was sent.
    USAGE = 2
    #: Another change came first; nothing was changed.
    CONFLICT = 3
    #: The daemon or the platform was not reached; nothing was changed.
    UNREACHABLE = 4
    #: The command may have taken effect; repeat it with the id that was shown.
    UNCERTAIN = 5


EXIT_CODES = {
    FaultKind.CONFLICT: ExitCode.CONFLICT,
    FaultKind.UNAVAILABLE: ExitCode.UNREACHABLE,
    FaultKind.UNCERTAIN: ExitCode.UNCERTAIN,
}
