"""Loguru configuration: JSON or text lines with the request bound by context."""

import logging
import sys
import traceback
from contextlib import AbstractContextManager
from typing import TYPE_CHECKING, Any, TextIO

import msgspec
from loguru import logger

from kingcuphead.logs._bounded import BoundedStream
from kingcuphead.logs._settings import LogFormat, LogSettings

if TYPE_CHECKING:
    from loguru import FormatFunction, PatcherFunction, Record

#: Bound values that are written to a line; all others are dropped, so that a binding
#: by mistake cannot write prompt text or keys to the log.
ALLOWED_FIELDS = frozenset(
    {
        "address",
        "age_seconds",
        "allowed",
        "answers",
        "attempt",
        "attempts",
        "budget",
        "bytes_held",
        "bytes_limit",
        "bytes_needed",
        "cause",
        "charge",
        "connections",
        "credit",
        "credit_seconds",
        "events",
        "execution",
        "fingerprint",
        "first_event_seconds",
        "hedged",
        "instance",
        "is_trial",
        "judgement",
        "keys",
        "lag",
        "link",
        "load",
        "longest_turn",
        "median",
        "organisation",
        "others",
        "parts",
        "peer",
        "phases",
        "processor",
        "queue",
        "queue_seconds",
        "reason",
        "rejections_per_second",
        "request_id",
        "requests",
        "requests_per_second",
        "resumes",
        "retry_after",
        "revision",
        "route",
        "seconds",
        "service",
        "share",
        "since_failure",
        "since_written",
        "software_version",
        "status",
        "still_open",
        "target",
        "targets",
        "task",
        "threshold",
        "tokens",
        "traffic",
        "trials",
        "unready",
        "value",
        "work_class",
        "zone",
    }
)
#: Loguru format of a text line.
TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <8} {name} {message} {extra[fields]}"
)


def set_up_logs(
    settings: LogSettings,
    instance: str,
    stream: TextIO | BoundedStream = sys.stderr,
) -> None:
    """Write all log lines of the process to one stream.

    Parameters
    ----------
    settings : LogSettings
        Format and minimum severity.
    instance : str
        Name of the instance, bound to every line.
    stream : TextIO or BoundedStream
        Stream that receives the lines.
    """
    logger.remove()
    logger.configure(
        extra={"instance": instance}, patcher=_get_patcher(settings.format)
    )
    sink: Any = stream
    logger.add(
        sink,
        level=settings.level.value.upper(),
        format=_get_format(settings.format),
        # Local variables in a traceback may contain prompt text or keys.
        diagnose=False,
        backtrace=False,
    )
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)


def bind_request(
    request_id: str, organisation: str = ""
) -> AbstractContextManager[None]:
    """Bind a request to the lines that the current task logs in a `with` block.

    Parameters
    ----------
    request_id : str
        Id of the request.
    organisation : str
        Organisation that sent the request; empty if unknown.
    """
    return logger.contextualize(request_id=request_id, organisation=organisation)


def _get_format(format_: LogFormat) -> "str | FormatFunction":
    match format_:
        case LogFormat.JSON:
            # Loguru appends a traceback to a format string, but not to the result of a
            # format function.
            return lambda record: "{extra[line]}\n"
        case LogFormat.TEXT:
            return TEXT_FORMAT


def _get_patcher(format_: LogFormat) -> "PatcherFunction":
    match format_:
        case LogFormat.JSON:
            return _add_line
        case LogFormat.TEXT:
            return _add_fields


def _select_fields(record: "Record") -> dict[str, Any]:
    extra = record["extra"]
    return {name: extra[name] for name in sorted(ALLOWED_FIELDS & extra.keys())}


def _add_fields(record: "Record") -> None:
    """Add the allowed fields to a record as text."""
    fields = _select_fields(record)
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    record["extra"]["fields"] = text


def _add_line(record: "Record") -> None:
    """Add the encoded JSON line to a record."""
    line = {
        "at": record["time"].isoformat(),
        "level": record["level"].name.lower(),
        "module": record["name"],
        "message": record["message"],
        **_select_fields(record),
    }
    exception = record["exception"]
    if exception is not None:
        lines = traceback.format_exception(
            exception.type, exception.value, exception.traceback
        )
        line["exception"] = "".join(lines)
    record["extra"]["line"] = msgspec.json.encode(line, enc_hook=str).decode()


class _LoguruHandler(logging.Handler):
    """Forwards records of the standard library's loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Format the message of one record and log it with loguru."""
        level = record.levelname if record.levelname in _LEVELS else "WARNING"
        logger.opt(exception=record.exc_info).log(level, "{}", record.getMessage())


_LEVELS = frozenset({"DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"})
