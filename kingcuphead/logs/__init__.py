"""Structured logging that keeps prompt text and keys out of the log."""

from kingcuphead.logs._bounded import BoundedStream
from kingcuphead.logs._repetition import RepetitionLimit, quote
from kingcuphead.logs._settings import LogFormat, LogLevel, LogSettings
from kingcuphead.logs._setup import ALLOWED_FIELDS, bind_request, set_up_logs

__all__ = [
    "ALLOWED_FIELDS",
    "BoundedStream",
    "LogFormat",
    "LogLevel",
    "LogSettings",
    "RepetitionLimit",
    "bind_request",
    "quote",
    "set_up_logs",
]
