"""Settings of the log."""

import dataclasses
import enum


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


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Format and level of the log."""

    #: Format of a log line.
    format: LogFormat = LogFormat.JSON
    #: Minimum severity of logged messages.
    level: LogLevel = LogLevel.INFO
