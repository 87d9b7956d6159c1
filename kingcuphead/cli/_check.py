"""Command that checks a configuration file without a daemon."""

import argparse
import dataclasses
from typing import Any

from loguru import logger

from kingcuphead.cli._exit_codes import CheckStatus
from kingcuphead.cli._in_force import read_file, read_in_force
from kingcuphead.cli._output import Output
from kingcuphead.cli._tables import format_table
from kingcuphead.review import Difference, Review, Severity, review

#: Most findings, and most differences, that are printed as text.
MAX_LINES = 200
#: Columns of the table of differences.
DIFFERENCE_COLUMNS = ("kind", "place", "field", "before", "after", "takes_away")


def check_files(arguments: argparse.Namespace) -> int:
    """Check a file and print the findings.

    Parameters
    ----------
    arguments
        Parsed arguments of the command.

    Returns
    -------
    int
        Value of a `CheckStatus`.
    """
    # What the decoder would log is among the findings.
    logger.disable("kingcuphead")
    try:
        result = _review_files(arguments.file, arguments.against)
    finally:
        logger.enable("kingcuphead")
    status = _get_status(result)
    if arguments.json:
        content = {
            "findings": [dataclasses.asdict(each) for each in result.findings],
            "differences": _list_differences(result),
            "exit_code": int(status),
        }
        print(Output(content).format(as_json=True))
    else:
        print(_format_text(result))
    return status


def _review_files(path: str, against: str | None) -> Review:
    content = read_file(path)
    if content.is_error():
        return Review((content.error,))
    if against is None:
        return review(content.ok)
    in_force = read_in_force(against)
    if in_force.is_error():
        return Review((in_force.error, *review(content.ok).findings))
    return review(content.ok, in_force.ok)


def _get_status(result: Review) -> CheckStatus:
    if result.has(Severity.ERROR):
        return CheckStatus.ERRORS
    takes_away = any(each.takes_away for each in result.differences)
    if takes_away or result.has(Severity.WARNING):
        return CheckStatus.WARNINGS
    return CheckStatus.CLEAN


def _list_differences(result: Review) -> list[dict[str, Any]]:
    return [
        dataclasses.asdict(each) | {"description": each.describe()}
        for each in result.differences
    ]


def _format_text(result: Review) -> str:
    lines = [f"{each.severity}: {each.place}: {each.cause}" for each in result.findings]
    lines = _shorten(lines) or ["no findings"]
    if result.differences:
        lines += ["", "Differences from the version in force:"]
        lines += _shorten([_describe(each) for each in result.differences])
        rows = _list_differences(result)[:MAX_LINES]
        lines += ["", format_table(rows, DIFFERENCE_COLUMNS)]
    return "\n".join(lines)


def _describe(difference: Difference) -> str:
    mark = " (takes something away from callers)" if difference.takes_away else ""
    return f"{difference.describe()}{mark}"


def _shorten(lines: list[str]) -> list[str]:
    if len(lines) <= MAX_LINES:
        return lines
    return [*lines[:MAX_LINES], f"... and {len(lines) - MAX_LINES} more"]
