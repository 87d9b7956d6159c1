"""Set up loguru: JSON or text lines, with the request bound by context."""

import logging
import sys
import traceback
from contextlib import AbstractContextManager
from typing import TYPE_CHECKING, Any, TextIO

import msgspec
from loguru import logger

from kingcuphead.logs._bounded import BoundedStream
from kingcuphead.settings import LogFormat, LogSettings

if TYPE_CHECKING:
    from loguru import FormatFunction, Record

#: Bound values that a line may carry; everything else is dropped, so that no
#: prompt text or key can reach the log by way of a careless binding.
ALLOWED_FIELDS = frozenset(
    {
        "age_seconds",
        "attempt",
        "attempts",
        "budget",
        "cause",
        "credit",
        "credit_seconds",
        "events",
        "execution",
        "first_event_seconds",
        "instance",
        "organisation",
        "peer",
        "phases",
        "reason",
        "request_id",
        "retry_after",
        "revision",
        "route",
        "seconds",
        "service",
        "status",
        "target",
        "tokens",
        "work_class",
    }
)
TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <8} {name} {message} {extra[fields]}"
)


def set_up_logs(
    settings: LogSettings,
    instance: str,
    stream: TextIO | BoundedStream = sys.stderr,
) -> None:
    """Send every log line of the process to one stream.

    Parameters
    ----------
    settings : LogSettings
        Form and least severity.
    instance : str
        Instance name, bound to every line.
    stream : TextIO
        Where the lines go.
    """
    logger.remove()
    logger.configure(extra={"instance": instance}, patcher=_prepare_record)
    sink: Any = stream
    logger.add(
        sink,
        level=settings.level.value.upper(),
        format=_get_format(settings.format),
        # Values of local variables in a traceback may hold prompt text or keys.
        diagnose=False,
        backtrace=False,
    )
    logging.basicConfig(handlers=[_Forwarder()], level=logging.WARNING, force=True)


def bind_request(
    request_id: str, organisation: str = ""
) -> AbstractContextManager[None]:
    """Bind a request to every line that the current task logs.

    Parameters
    ----------
    request_id : str
        Id of the request.
    organisation : str
        Organisation that made it, if it is known.
    """
    return logger.contextualize(request_id=request_id, organisation=organisation)


def _get_format(format_: LogFormat) -> "str | FormatFunction":
    match format_:
        case LogFormat.JSON:
            # A function keeps loguru from adding a traceback after the line.
            return lambda record: "{extra[line]}\n"
        case LogFormat.TEXT:
            return TEXT_FORMAT


def _prepare_record(record: "Record") -> None:
    """Add the allowed fields and the JSON line to a record."""
    extra = record["extra"]
    fields = {name: extra[name] for name in sorted(ALLOWED_FIELDS & extra.keys())}
    line = {
        "at": record["time"].isoformat(),
        "level": record["level"].name.lower(),
        "module": record["name"],
        "message": record["message"],
        **fields,
    }
    exception = record["exception"]
    if exception is not None:
        lines = traceback.format_exception(
            exception.type, exception.value, exception.traceback
        )
        line["exception"] = "".join(lines)
    extra["fields"] = " ".join(f"{name}={value}" for name, value in fields.items())
    extra["line"] = msgspec.json.encode(line, enc_hook=str).decode()


class _Forwarder(logging.Handler):
    """Hands records of the standard library's loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record without its arguments' types."""
        level = record.levelname if record.levelname in _LEVELS else "WARNING"
        logger.opt(exception=record.exc_info).log(level, "{}", record.getMessage())


_LEVELS = frozenset({"DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"})
