"""What the version before writes is readable, and it can read what is written today.

The bytes in `e2e3d33.json` were written by that version, the one that was in production
when upgrades became rolling; `_record.py` has the command.
"""

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import pytest
from thrift.Thrift import TType

from kingcuphead.credit import HolderRow
from kingcuphead.credit._contact import StoreContact
from kingcuphead.credit._era import decode_shards
from kingcuphead.credit._rows import (
    get_holder_era,
    get_holder_incarnation,
    get_shard_era,
    get_shard_index,
)
from kingcuphead.credit._stamp import ReserveStamp
from kingcuphead.datagrams import _codec, decode_datagram
from kingcuphead.entry._peers import PeerDiscovery
from kingcuphead.logs import RepetitionLimit
from kingcuphead.paths._frames import read_message
from kingcuphead.paths._messages import TunnelAnswered, TunnelAsked
from kingcuphead.quarantine._rows import decode_row
from kingcuphead.resumption._rows import decode_rows
from kingcuphead.storage import Row, RowSnapshot
from kingcuphead.wire.tests import _samples
from kingcuphead.wire.tests._compact import Struct, read_struct, write_struct

RECORD = json.loads(Path(__file__).with_name("e2e3d33.json").read_text())
WRITTEN = _samples.make_record()
#: Row whose fields are told apart by their position.
SHARD_ROWS = ("shard", "shard without allocations")


class ContentStream:
    """Returns some bytes to whoever reads from it."""

    def __init__(self, content: bytes) -> None:
        self.content = content

    async def read_bytes(self, count: int) -> bytes:
        part, self.content = self.content[:count], self.content[count:]
        return part


def decode_tunnel_message(name: str, frame: bytes) -> TunnelAsked | TunnelAnswered:
    stream: Any = ContentStream(frame)
    is_question = name == "tunnel asked"
    cls: Any = TunnelAsked if is_question else TunnelAnswered
    message: TunnelAsked | TunnelAnswered = asyncio.run(read_message(stream, cls))
    assert stream.content == b""
    return message


def decode_stamp(row: Row) -> Any:
    stamp = ReserveStamp(_samples.INSTANCE, "later", StoreContact())
    stamp.apply_rows(RowSnapshot((row,), 9), _samples.STORE_TIME)
    assert stamp.earlier is not None
    return stamp.earlier[_samples.INCARNATION]


def decode_daemon(row: Row) -> Any:
    discovery = PeerDiscovery(mock.Mock(), ("10.0.0.9", 1), lambda peers: None)
    (address,) = discovery._decode_peers((row,))
    return address


def decode_shard(row: Row) -> Any:
    index = get_shard_index(row.key)
    shard = decode_shards({index: row})[index].row
    return get_shard_era(row.key), index, shard


def decode_holder(row: Row) -> Any:
    holder = msgspec.json.decode(row.value, type=HolderRow)
    return get_holder_era(row.key), get_holder_incarnation(row.key), holder


#: Decodes a row of each kind, and the value that is expected.
ROWS: dict[str, tuple[Callable[[Row], Any], Any]] = {
    "shard": (decode_shard, (3, 7, _samples.SHARD)),
    "shard without allocations": (
        decode_shard,
        (0, 23, type(_samples.SHARD)()),
    ),
    "holder": (decode_holder, (3, _samples.INCARNATION, _samples.HOLDER)),
    "stamp": (decode_stamp, _samples.STAMP),
    "daemon": (decode_daemon, (_samples.DAEMON.host, _samples.DAEMON.port)),
    "quarantine": (
        lambda row: decode_row(row, _samples.STORE_TIME, RepetitionLimit()),
        _samples.QUARANTINED,
    ),
    "crash": (
        lambda row: decode_row(row, _samples.STORE_TIME, RepetitionLimit()),
        _samples.CRASH,
    ),
    "version": (lambda row: next(iter(decode_rows((row,)))), _samples.VERSION),
}


def is_addition(recorded: tuple[int, Any], written: tuple[int, Any]) -> bool:
    """Whether a value differs from a recorded one at most by further fields."""
    kind, old = recorded
    if kind != written[0]:
        return False
    new = written[1]
    if kind == TType.STRUCT:
        return all(
            number in new and is_addition(field, new[number])
            for number, field in old.items()
        )
    if kind == TType.LIST:
        return (
            old[0] == new[0]
            and len(old[1]) == len(new[1])
            and all(
                is_addition((old[0], first), (old[0], second))
                for first, second in zip(old[1], new[1], strict=True)
            )
        )
    return bool(old == new)


def is_readable(recorded: bytes, written: bytes) -> bool:
    """Whether a version that knows the recorded fields only reads the same values."""
    old: Struct = read_struct(recorded)
    new: Struct = read_struct(written)
    return is_addition((TType.STRUCT, old), (TType.STRUCT, new))


class TestRecordedMessages:
    """Guards against a change of messages that one of two versions can't read."""

    def test_each_message_is_recorded(self):
        classes = {type(each) for each in _samples.DATAGRAMS.values()}
        assert classes == set(_codec._CLASSES)
        assert _samples.DATAGRAMS.keys() == RECORD["datagrams"].keys()
        assert _samples.TUNNEL_MESSAGES.keys() == RECORD["tunnel_messages"].keys()

    @pytest.mark.parametrize("name", _samples.DATAGRAMS)
    def test_a_recorded_datagram_is_decoded(self, name):
        recorded = bytes.fromhex(RECORD["datagrams"][name])
        assert decode_datagram(recorded) == _samples.DATAGRAMS[name]

    @pytest.mark.parametrize("name", _samples.TUNNEL_MESSAGES)
    def test_a_recorded_tunnel_message_is_decoded(self, name):
        frame = bytes.fromhex(RECORD["tunnel_messages"][name])
        assert decode_tunnel_message(name, frame) == _samples.TUNNEL_MESSAGES[name]

    @pytest.mark.parametrize("name", _samples.DATAGRAMS)
    def test_a_datagram_has_the_recorded_fields(self, name):
        recorded = bytes.fromhex(RECORD["datagrams"][name])
        written = bytes.fromhex(WRITTEN["datagrams"][name])
        assert is_readable(recorded, written)
        # A second member of the union is no optional addition.
        assert read_struct(recorded).keys() == read_struct(written).keys()

    @pytest.mark.parametrize("name", _samples.TUNNEL_MESSAGES)
    def test_a_tunnel_message_has_the_recorded_fields(self, name):
        recorded = bytes.fromhex(RECORD["tunnel_messages"][name])
        written = bytes.fromhex(WRITTEN["tunnel_messages"][name])
        assert int.from_bytes(written[:2]) == len(written) - 2
        assert is_readable(recorded[2:], written[2:])

    @pytest.mark.parametrize(
        ("written", "expected"),
        [
            ({1: (TType.I64, 5)}, True),
            ({1: (TType.I64, 5), 2: (TType.STRING, "new")}, True),
            ({1: (TType.I64, 6)}, False),
            ({1: (TType.I32, 5)}, False),
            ({2: (TType.I64, 5)}, False),
        ],
    )
    def test_the_comparison_allows_additions_only(self, written, expected):
        recorded = write_struct({1: (TType.I64, 5)})
        assert is_readable(recorded, write_struct(written)) is expected


class TestRecordedRows:
    """Guards against a change of rows that one of two versions can't read."""

    def test_each_row_is_recorded(self):
        assert ROWS.keys() == RECORD["rows"].keys() == WRITTEN["rows"].keys()

    @pytest.mark.parametrize("name", ROWS)
    def test_a_recorded_row_is_decoded(self, name):
        key, value = RECORD["rows"][name]
        decode, expected = ROWS[name]
        assert decode(Row(key, 1, value.encode())) == expected

    @pytest.mark.parametrize("name", ROWS)
    def test_a_row_has_the_recorded_key_and_fields(self, name):
        key, value = RECORD["rows"][name]
        written_key, written_value = WRITTEN["rows"][name]
        assert written_key == key
        recorded, written = json.loads(value), json.loads(written_value)
        if name in SHARD_ROWS:
            # The version before drops further elements when it writes the row again.
            assert written == recorded
        else:
            assert recorded.items() <= written.items()


class TestAgreements:
    """Guards against daemons that compute differently what none of them sends."""

    @pytest.mark.parametrize("name", RECORD["agreements"])
    def test_all_daemons_compute_what_was_recorded(self, name):
        assert WRITTEN["agreements"][name] == RECORD["agreements"][name]
