"""Reads numbers that operators and targets write, and tolerates invalid ones."""

import math
from typing import Any

from loguru import logger

from kingcuphead.decoding import parse_decimal

#: Characters of an invalid value in a log line.
MAX_LOGGED_VALUE = 100
#: Number of invalid values that are remembered so that each is logged once.
MAX_REMEMBERED = 1_024

_logged: set[tuple[str, str]] = set()


def read_number(
    name: str, value: Any, fallback: float, is_positive: bool = False
) -> float:
    """Return a non-negative number; log an invalid value once.

    Parameters
    ----------
    name
        Name of the setting or field, for the log.
    value
        Value as decoded.
    fallback
        Result for an invalid value.
    is_positive
        Whether zero is invalid, too.
    """
    number = parse_number(value)
    if number is not None and not (is_positive and number == 0):
        return number
    _log_once(name, value, f"using {fallback}")
    return fallback


def read_stated_number(name: str, text: str) -> float | None:
    """Return a non-negative number from a header; log an invalid value once.

    Parameters
    ----------
    name
        Name of the header, for the log.
    text
        Value of the header.

    Returns
    -------
    float | None
        The number, or None if the value is invalid.
    """
    number = parse_number(text)
    if number is None:
        _log_once(name, text, "ignoring it")
    return number


def parse_number(value: Any) -> float | None:
    """Return a value as a non-negative number; None if it isn't one."""
    number: float | None
    match value:
        case bool():
            return None
        case str():
            number = parse_decimal(value)
        case int() | float():
            number = _convert(value)
        case _:
            return None
    is_valid = number is not None and math.isfinite(number) and number >= 0
    return number if is_valid else None


def _convert(value: int | float) -> float | None:
    try:
        return float(value)
    except OverflowError:
        return None


def _log_once(name: str, value: Any, effect: str) -> None:
    # A nested value may be too deep for `repr`, an integer too long.
    is_plain = value is None or isinstance(value, str | float | bool)
    text = repr(value)[:MAX_LOGGED_VALUE] if is_plain else type(value).__name__
    if (name, text) in _logged or len(_logged) >= MAX_REMEMBERED:
        return
    _logged.add((name, text))
    logger.bind(value=text).warning("invalid {}; {}", name, effect)
