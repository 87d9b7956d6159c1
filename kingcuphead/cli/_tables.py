"""Formatting of rows as text tables."""

import datetime
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

#: Separator between two columns.
COLUMN_GAP = "  "


def format_table(rows: Iterable[Mapping[str, Any]], columns: Sequence[str]) -> str:
    """Format rows as a table with aligned columns.

    Parameters
    ----------
    rows : iterable of mappings
        Values by column; a missing value is shown as `-`.
    columns : sequence of str
        Keys to show, in order; the heading is the key with spaces for underscores.
    """
    heading = [column.replace("_", " ") for column in columns]
    lines = [heading]
    for row in rows:
        lines.append([format_cell(column, row.get(column)) for column in columns])
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(_join_cells(line, widths) for line in lines)


def _join_cells(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip()


def format_cell(column: str, value: Any) -> str:
    """Format the value of one cell."""
    match value:
        case None | "" | []:
            return "-"
        case bool():
            return "yes" if value else "no"
        case int():
            return f"{value:,}"
        case float() if column in COLUMN_FORMATTERS:
            return COLUMN_FORMATTERS[column](value)
        case float():
            return f"{value:.3f}"
        case list():
            return ", ".join(format_cell(column, item) for item in value)
        case {"kind": kind, "name": name}:
            return f"{kind}/{name}"
        case dict():
            pairs = (f"{key}={format_cell(key, item)}" for key, item in value.items())
            return " ".join(pairs)
    return str(value)


def _format_timestamp(seconds: float) -> str:
    utc_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%SZ")


#: Formatters of columns that contain Unix timestamps, in seconds.
COLUMN_FORMATTERS: dict[str, Callable[[float], str]] = {
    "at": _format_timestamp,
    "claimed_at": _format_timestamp,
}
