import json

import pytest

from kingcuphead.records import (
    Budget,
    BudgetPolicy,
    Model,
    Organisation,
    Service,
    ServiceKind,
    Target,
    WorkClass,
    decode_record,
    encode_record,
)

DIGEST = "ab" * 32
ORGANISATION = {
    "kind": "organisation",
    "schema": 2,
    "name": "atelier",
    "key_digests": [DIGEST],
    "budget": "main",
}


def encode(**changes: object) -> bytes:
    return json.dumps(ORGANISATION | changes).encode()


class TestDecoding:
    def test_both_organisation_schemas_decode_to_the_same_record(self):
        first = {
            "kind": "organisation",
            "schema": 1,
            "name": "atelier",
            "keys": [f"sha256:{DIGEST}"],
            "budget": "main",
            "priority": 3,
        }
        second = encode(classes=["priority-3"])
        record = decode_record(json.dumps(first).encode()).ok
        assert record == decode_record(second).ok
        assert isinstance(record, Organisation)

    def test_both_target_schemas_decode_to_the_same_record(self):
        common = {"kind": "target", "name": "t", "service": "s", "zone": "z"}
        first = common | {"schema": 1, "host": "10.0.0.1", "port": 80, "slots": 4}
        second = common | {"schema": 2, "address": "10.0.0.1:80", "concurrency": 4}
        records = [
            decode_record(json.dumps(each).encode()).ok for each in (first, second)
        ]
        assert records == [Target("t", "s", "10.0.0.1:80", "z", concurrency=4)] * 2

    @pytest.mark.parametrize(
        ("content", "problem"),
        [
            (b"{", "truncated"),
            (b"\xff", "malformed"),
            (b"[]", "Expected `object`"),
            (encode(schema=3), "schema version 3 is not accepted; accepted are 1, 2"),
            (encode(schema="2"), "Expected `int`"),
            (encode(kind="tenant"), "unknown kind"),
            (encode(extra=1), "unknown field `extra`"),
            (encode(priority=1), "unknown field `priority`"),
            (encode(weight="1"), "$.weight"),
            (encode(weight=0), "$.weight"),
            (encode(name="a/b"), "$.name"),
            (encode(name="a\n"), "$.name"),
            (encode(name=""), "$.name"),
            (encode(classes=[]), "$.classes"),
            (encode(key_digests=["secret"]), "$.key_digests"),
            (encode(models=["x" * 70_000]), "larger than"),
        ],
    )
    def test_fault_message_names_the_invalid_field(self, content, problem):
        assert problem in decode_record(content).error.message

    def test_record_above_the_maximum_schema_is_rejected(self):
        problem = decode_record(encode(), max_schema=1).error.problem
        assert problem == "schema version 2 is not accepted; accepted are 1"


class TestEncoding:
    @pytest.mark.parametrize(
        "record",
        [
            Organisation("o", (DIGEST,), "b", ("m",), ("s",), ("first", "second"), 3),
            Budget("b", BudgetPolicy.AVAILABLE),
            WorkClass("c", rank=1, deadline=2.0, share=0.5),
            Model("m", ("1", "2"), 1000),
            Service("s", ServiceKind.PLAIN, checks_fencing=True),
            Target("t", "s", "10.0.0.1:80", "z", ("m",), 4, draining=True),
        ],
    )
    def test_round_trip(self, record):
        assert decode_record(encode_record(record)).ok == record
