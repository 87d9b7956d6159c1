"""Command that checks a configuration file without a daemon."""

import argparse
import dataclasses
from pathlib import Path

from expression import Error, Ok, Result

from kingcuphead.cli._exit_codes import CheckStatus
from kingcuphead.cli._output import Output
from kingcuphead.review import MAX_FILE_BYTES, Finding, Review, Severity, review


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
    result = _review_files(arguments.file, arguments.against)
    status = _get_status(result)
    if arguments.json:
        content = dataclasses.asdict(result) | {"exit_code": int(status)}
        print(Output(content).format(as_json=True))
    else:
        print(_format_text(result))
    return status


def _review_files(path: str, against: str | None) -> Review:
    content = _read(path)
    if content.is_error():
        return Review((content.error,))
    if against is None:
        return review(content.ok)
    in_force = _read(against)
    if in_force.is_error():
        return Review((in_force.error, *review(content.ok).findings))
    return review(content.ok, in_force.ok)


def _read(path: str) -> Result[bytes, Finding]:
    try:
        with Path(path).open("rb") as file:
            # One byte more than allowed shows that the file is too large.
            return Ok(file.read(MAX_FILE_BYTES + 1))
    except (OSError, ValueError) as error:
        return Error(Finding(Severity.ERROR, path, f"can't be read: {error}"))


def _get_status(result: Review) -> CheckStatus:
    if result.has(Severity.ERROR):
        return CheckStatus.ERRORS
    if result.has(Severity.WARNING):
        return CheckStatus.WARNINGS
    return CheckStatus.CLEAN


def _format_text(result: Review) -> str:
    lines = [f"{each.severity}: {each.place}: {each.cause}" for each in result.findings]
    for each in result.differences:
        mark = " (takes away from callers)" if each.takes_away else ""
        detail = f": {each.detail}" if each.detail else ""
        lines.append(f"{each.kind}: {each.place}{detail}{mark}")
    return "\n".join(lines or ["no findings"])
