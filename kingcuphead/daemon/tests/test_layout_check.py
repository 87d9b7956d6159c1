import asyncio

import pytest

from kingcuphead.budgets import LAYOUT_KEY, Layout, encode
from kingcuphead.daemon._layout_check import LayoutError, check_layout
from kingcuphead.storage import MemoryTable, Put, Transaction


def make_table(shards):
    table = MemoryTable()
    if shards:
        put = Put(LAYOUT_KEY, encode(Layout(shards)))
        table.commit_now(Transaction((), (put,)))
    return table


class TestLayoutCheck:
    @pytest.mark.parametrize("stored", [0, 16])
    def test_same_number_or_an_empty_table_passes(self, stored):
        asyncio.run(check_layout(make_table(stored), 16))

    def test_other_number_is_an_error(self):
        with pytest.raises(LayoutError, match="shards is 8, .* laid out with 16"):
            asyncio.run(check_layout(make_table(16), 8))
