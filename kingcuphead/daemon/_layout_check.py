"""Check that the settings and the table have the same number of shards."""

import asyncio

from expression import Result

from kingcuphead.budgets import LAYOUT_KEY, decode_layout
from kingcuphead.storage import Row, Table

#: Seconds between two attempts to read the layout while the table is unavailable.
RETRY_INTERVAL = 1.0


class LayoutError(RuntimeError):
    """The number of shards in the settings differs from that in the table."""

    def __init__(self, configured: int, stored: int) -> None:
        super().__init__(
            f"[budgets] shards is {configured}, but the table was laid out with"
            f" {stored}; budgets would be read from the wrong shard rows"
        )
        #: Number of shards in the settings.
        self.configured = configured
        #: Number of shards in the table.
        self.stored = stored


async def check_layout(table: Table, shards: int) -> None:
    """Compare the layout in the table, if there is one, with the settings.

    Retries until the table can be read.

    Raises
    ------
    LayoutError
        The numbers of shards differ; the daemon must not serve requests.
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
