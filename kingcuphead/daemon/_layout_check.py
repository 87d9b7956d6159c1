"""The check that the daemon and the table agree on the number of shards."""

import asyncio

from expression import Result

from kingcuphead.budgets import LAYOUT_KEY, decode_layout
from kingcuphead.storage import Row, Table

#: Seconds between two tries to read the layout while the table is out of reach.
RETRY_INTERVAL = 1.0


class LayoutError(RuntimeError):
    """The settings and the table name different numbers of shards."""

    def __init__(self, configured: int, stored: int) -> None:
        super().__init__(
            f"[budgets] shards is {configured}, but the table was laid out with"
            f" {stored}; budgets would be looked for in the wrong rows"
        )
        #: The number in the settings.
        self.configured = configured
        #: The number in the table.
        self.stored = stored


async def check_layout(table: Table, shards: int) -> None:
    """Wait for the table and compare its layout, if it has one, with the settings.

    Raises
    ------
    LayoutError
        They differ; the daemon must not go on.
    """
    while True:
        match await table.read((LAYOUT_KEY,)):
            case Result(tag="ok", ok=rows):
                _compare(rows, shards)
                return
        await asyncio.sleep(RETRY_INTERVAL)


def _compare(rows: tuple[Row, ...], shards: int) -> None:
    for row in rows:
        stored = decode_layout(row.value).shards
        if stored != shards:
            raise LayoutError(shards, stored)
