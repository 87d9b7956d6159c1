"""What a command brought, for people or for programs."""

import dataclasses
import json
from collections.abc import Mapping, Sequence
from typing import Any

from kingcuphead.cli._tables import format_table


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """The result of one command."""

    #: What programs read.
    content: Any
    #: Rows of the table that people read; taken from `content` if None.
    rows: Sequence[Mapping[str, Any]] | None = None
    #: Columns of the table.
    columns: tuple[str, ...] = ()
    #: A sentence under the table, or instead of it.
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
