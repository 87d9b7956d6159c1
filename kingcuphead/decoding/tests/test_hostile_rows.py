"""Decodes hostile rows; `HOSTILE_SEEDS=200` plays more seeds by hand."""

import json
import os
import random

import msgspec
import pytest

from kingcuphead.credit import HolderRow, ShardRow
from kingcuphead.credit._decoding import UndecodableRowError, decode_row
from kingcuphead.credit._stamp import StampRow
from kingcuphead.decoding import parse_target_address
from kingcuphead.decoding.tests._hostile import make_hostile_rows, make_hostile_value
from kingcuphead.entry._peers import DaemonRow, PeerDiscovery
from kingcuphead.logs import RepetitionLimit
from kingcuphead.platform import decode_configuration, decode_target
from kingcuphead.platform._entries import MAX_NUMBER, MAX_TEXT_LENGTH
from kingcuphead.quarantine import _rows as quarantine_rows
from kingcuphead.resumption import _origin_rows, _rows as version_rows
from kingcuphead.storage import Row
from kingcuphead.targets._cold import ColdTargets

SEEDS = range(int(os.environ.get("HOSTILE_SEEDS", "3")))
#: Variants of each row for each seed.
COUNT = 60
ENTRY = {
    "service": "pool",
    "address": "127.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 5,
    "born": 1,
    "sequence": 2,
}
CONFIGURATION = {
    "version": 3,
    "routes": [],
    "services": [],
    "tenants": [],
    "limits": {},
}


def make_row(content, key="key"):
    return Row(key, 1, content)


def decode_credit(row_type):
    def decode(content):
        try:
            decode_row(make_row(content), msgspec.json.Decoder(row_type))
        except UndecodableRowError:
            return

    return decode


def decode_quarantine(key):
    limit = RepetitionLimit()
    return lambda content: quarantine_rows.decode_row(make_row(content, key), 1, limit)


def decode_peers(content):
    table = PeerDiscovery.__new__(PeerDiscovery)
    table._key, table._own_address = "own", ("127.0.0.1", 1)
    table._repetitions = RepetitionLimit()
    for host, port in table._decode_peers((make_row(content),)):
        assert parse_target_address(f"{host}:{port}") is not None


def decode_versions(content):
    list(version_rows.decode_rows([make_row(content)]))


def decode_origins(content):
    list(_origin_rows.decode_origins([make_row(content)]))


def encode(value):
    return msgspec.json.encode(value)


#: A valid row and the decoder of its kind. Decoders raise nothing.
DECODERS = {
    "configuration": (encode(CONFIGURATION), decode_configuration),
    "credit holder": (encode(HolderRow(1, reserve=2)), decode_credit(HolderRow)),
    "credit stamp": (encode(StampRow(0, 1)), decode_credit(StampRow)),
    "crash": (encode({"crashed_ms": 1, "parts": []}), decode_quarantine("crash/f/t")),
    "quarantine": (encode({"expires_ms": 1}), decode_quarantine("f")),
    "daemon": (encode(DaemonRow("127.0.0.1", 80)), decode_peers),
    "version": (encode({"service": "s", "software_version": "v"}), decode_versions),
    "origins": (encode({"expires_ms": 1, "groups": []}), decode_origins),
}


@pytest.mark.parametrize("seed", SEEDS)
class TestHostileRows:
    """Guards against one writer's row that ends every daemon that reads it."""

    @pytest.mark.parametrize("kind", DECODERS)
    def test_a_decoder_gives_a_value_or_refuses_the_row(self, kind, seed):
        valid, decode = DECODERS[kind]
        for content in make_hostile_rows(valid, seed, COUNT):
            decode(content)

    def test_a_shard_row_is_decoded_or_refused(self, seed):
        rng = random.Random(seed)
        for _ in range(COUNT):
            values = [str(each) for each in msgspec.structs.astuple(ShardRow())]
            values[rng.randrange(len(values))] = make_hostile_value(rng)
            decode_credit(ShardRow)(f"[{','.join(values)}]".encode())

    def test_what_an_entry_names_can_be_used(self, seed):
        cold = ColdTargets()
        used = 0
        valid = json.dumps(ENTRY).encode()
        for content in make_hostile_rows(valid, seed, 4 * COUNT):
            target = decode_target("i-1", content)
            if target is None:
                continue
            used += 1
            assert parse_target_address(target.address) is not None
            numbers = target.slots, target.started_at_ms, target.sequence
            assert all(0 <= number <= MAX_NUMBER for number in numbers)
            texts = target.service, target.zone, target.software_version
            assert all(len(text) <= MAX_TEXT_LENGTH for text in texts)
            cold.record_entry(target, 0.0)
        assert used


class TestAddresses:
    @pytest.mark.parametrize("port", ["1", "80", "65535"])
    def test_an_address_has_a_host_and_a_port(self, port):
        assert parse_target_address(f"10.0.0.1:{port}") == ("10.0.0.1", int(port))

    @pytest.mark.parametrize(
        "text",
        [
            *("", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536"),
            *("10.0.0.1:70000", f"10.0.0.1:{'9' * 5_000}", "10.0.0.1:+80"),
            *("10.0.0.1:8\u0662", "10.0.0.1\0:80", "a..b:80", f"{'a' * 70_000}:80"),
            *("localhost:80", "[::1]:80", "10.0.0.256:80"),
        ],
    )
    def test_what_no_connection_can_be_opened_to_is_no_address(self, text):
        assert parse_target_address(text) is None
