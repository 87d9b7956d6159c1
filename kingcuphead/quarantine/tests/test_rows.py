import asyncio

import pytest
from expression import Ok
from loguru import logger

from kingcuphead.logs import RepetitionLimit
from kingcuphead.quarantine import Quarantine, QuarantineSettings
from kingcuphead.quarantine._messages import SavedCrash, SavedQuarantine
from kingcuphead.quarantine._rows import decode_row
from kingcuphead.quarantine._subjects import RequestIdentity
from kingcuphead.quarantine._table import QuarantineTable
from kingcuphead.storage import Row, RowSnapshot

STORE_TIME = 5_000_000
UNDECODABLE = [
    ("f", b""),
    ("f", b"\xff"),
    ("f", b"[1]"),
    ("f", b"{}"),
    ("f", b'{"crashed_ms": 1}'),
    ("f", b'{"expires_ms": "1"}'),
    ("f", b'{"expires_ms": 1.5}'),
    ("f", b'{"expires_ms": 1' + b"0" * 400 + b"}"),
    ("crash/f/t1@5", b'{"expires_ms": 1}'),
    ("crash/f/t1@5", b'{"crashed_ms": 1, "parts": [1]}'),
    ("crash/f/t1@5", b'{"crashed_ms": 1, "parts": ["\xff"]}'),
    ("crash/f", b'{"crashed_ms": 1}'),
    ("crash/f/t1@5", b'{"crashed_ms": -1' + b"0" * 400 + b"}"),
]


class CountingPart:
    """A part of the table with some rows; counts what is committed."""

    def __init__(self, rows):
        self.rows = tuple(rows)
        self.commits = []

    async def read_prefix(self, prefix):
        return Ok(RowSnapshot(self.rows, 9))

    def estimate_time(self):
        return STORE_TIME

    def bound_time(self, moment):
        return STORE_TIME

    async def commit(self, transaction):
        self.commits.append(transaction)


class TestRowsOfOtherVersions:
    """Guards against rows that stop a daemon or quarantine what they don't name."""

    @pytest.fixture
    def lines(self):
        lines: list[str] = []
        sink = logger.add(
            lambda line: lines.append(str(line)), format="{message}", level="WARNING"
        )
        yield lines
        logger.remove(sink)

    def test_new_fields_are_ignored(self):
        row = Row("f", 1, b'{"expires_ms": 5001000, "cause": {"by": ["d1"]}}')
        expected_quarantine = SavedQuarantine("f", 1.0)
        decoded = decode_row(row, STORE_TIME, RepetitionLimit())
        assert decoded == expected_quarantine
        row = Row("crash/f/t1@5", 1, b'{"crashed_ms": 4999000, "cause": 1}')
        expected = SavedCrash("t1@5", RequestIdentity("f"), 1.0)
        assert decode_row(row, STORE_TIME, RepetitionLimit()) == expected

    @pytest.mark.parametrize(("key", "value"), UNDECODABLE)
    def test_an_undecodable_row_is_left_out_with_one_line(self, lines, key, value):
        part = CountingPart([Row(key, 1, value)])
        table = QuarantineTable(part)
        quarantine = Quarantine(QuarantineSettings())

        async def read():
            for _ in range(5):
                rows = await table.read()
                assert rows is not None
                assert (rows.quarantined, rows.crashes, rows.expired) == ((), (), ())
                await table.save(rows, quarantine, 0.0)

        asyncio.run(read())
        assert len(lines) == 1
        assert len(lines[0]) <= 400
        assert part.commits == []
