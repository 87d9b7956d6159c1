"""Settings of the log."""

import enum

from kingcuphead.frozen import frozen


class LogFormat(enum.StrEnum):
    """Format of a log line."""

    JSON = "json"
    TEXT = "text"


class LogLevel(enum.StrEnum):
    """Minimum severity of logged messages."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@frozen
class LogSettings:
    """Format and level of the log."""

    #: Format of a log line.
    format: LogFormat = LogFormat.JSON
    #: Minimum severity of logged messages.
    level: LogLevel = LogLevel.INFO
