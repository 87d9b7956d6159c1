"""Answers as tables that people read."""

import datetime
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

#: Spaces between two columns.
GAP = "  "


def format_table(rows: Iterable[Mapping[str, Any]], columns: Sequence[str]) -> str:
    """Return rows as a table; a column is a key of the rows.

    Parameters
    ----------
    rows : iterable of mappings
        The rows.
    columns : sequence of str
        Keys to show, in order; the heading is the key.
    """
    heading = [column.replace("_", " ") for column in columns]
    lines = [heading]
    for row in rows:
        lines.append([format_cell(column, row.get(column)) for column in columns])
    widths = [max(len(line[at]) for line in lines) for at in range(len(columns))]
    return "\n".join(_join_cells(line, widths) for line in lines)


def _join_cells(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return GAP.join(padded).rstrip()


def format_cell(column: str, value: Any) -> str:
    """Return one value for people."""
    match value:
        case None | "" | []:
            return "-"
        case bool():
            return "yes" if value else "no"
        case int():
            return f"{value:,}"
        case float() if column in TIMES:
            return TIMES[column](value)
        case float():
            return f"{value:.3f}"
        case list():
            return ", ".join(format_cell(column, each) for each in value)
        case {"kind": kind, "name": name}:
            return f"{kind}/{name}"
        case dict():
            pairs = (f"{key}={format_cell(key, each)}" for key, each in value.items())
            return " ".join(pairs)
    return str(value)


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


#: Columns that hold seconds of the Unix epoch.
TIMES: dict[str, Callable[[float], str]] = {
    "at": _format_time,
    "claimed_at": _format_time,
}
