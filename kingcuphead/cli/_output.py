"""Results of commands, formatted as text or JSON."""

import dataclasses
import json
from collections.abc import Mapping, Sequence
from typing import Any

from kingcuphead.cli._tables import format_table


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """The result of one command."""

    #: Value that is printed as JSON.
    content: Any
    #: Rows of the table; `content` if None.
    rows: Sequence[Mapping[str, Any]] | None = None
    #: Keys of the rows to show as columns; empty for no table.
    columns: tuple[str, ...] = ()
    #: Text printed below the table, or instead of it if there is none.
    note: str = ""

    def format(self, as_json: bool) -> str:
        """Return the text to print."""
        if as_json:
            return json.dumps(self.content, indent=2, sort_keys=True)
        parts = [self.note] if self.note else []
        if self.columns:
            rows = self.content if self.rows is None else self.rows
            parts.insert(0, format_table(rows, self.columns) if rows else "(none)")
        return "\n".join(parts)
