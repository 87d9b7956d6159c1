import json

import pytest

from kingcuphead.api import (
    ApiLimits,
    KeyIndex,
    digest_key,
    encode_models,
    identify_caller,
    make_request_id,
    parse_caller_headers,
    parse_request_id,
)
from kingcuphead.records import Configuration, Model, Organisation
from kingcuphead.verdict import Reason

ATLAS = Organisation(
    "atlas",
    (digest_key("k-1"), digest_key("k-2")),
    "atlas",
    models=("frame", "gone"),
    classes=("review", "dealer"),
)
CONFIGURATION = Configuration(
    revision=4,
    organisations={"atlas": ATLAS},
    models={"frame": Model("frame", ("1",), 100)},
)
INDEX = KeyIndex.build(CONFIGURATION)


class TestIdentity:
    @pytest.mark.parametrize(
        "header", ["Bearer k-1", "bearer k-2", "BEARER  k-1", "Bearer k-1 "]
    )
    def test_known_key(self, header):
        assert identify_caller({"Authorization": header}, INDEX).ok is ATLAS

    @pytest.mark.parametrize(
        "header",
        [None, "", "Bearer", "Bearer ", "Basic k-1", "k-1", "Bearer k-3"]
        + ["Bearer " + "k" * 10_000, "Bearer " + digest_key("k-1"), "Bearer \u010d"],
    )
    def test_bad_key(self, header):
        headers = {} if header is None else {"Authorization": header}
        verdict = identify_caller(headers, INDEX).error
        assert verdict.reason is Reason.UNAUTHENTICATED
        assert "k-" not in verdict.detail

    def test_index_has_the_revision_of_its_configuration(self):
        assert INDEX.revision == 4


class TestCallerHeaders:
    def test_defaults(self):
        parsed = parse_caller_headers({}, ATLAS, ApiLimits()).ok
        assert parsed.work_class == "review"
        assert (parsed.request_id, parsed.idempotency_key, parsed.deadline) == (
            None,
            None,
            None,
        )

    def test_all(self):
        headers = {
            "X-Request-Id": "a.B-9",
            "Idempotency-Key": "order/7",
            "X-Work-Class": "dealer",
            "X-Deadline-Seconds": "2.5",
        }
        parsed = parse_caller_headers(headers, ATLAS, ApiLimits()).ok
        assert (parsed.request_id, parsed.idempotency_key) == ("a.B-9", "order/7")
        assert (parsed.work_class, parsed.deadline) == ("dealer", 2.5)

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("X-Request-Id", ""),
            ("X-Request-Id", "a b"),
            ("X-Request-Id", "x" * 129),
            ("X-Request-Id", "a\n"),
            ("Idempotency-Key", ""),
            ("Idempotency-Key", "\u010d"),
            ("Idempotency-Key", "x" * 256),
            ("X-Work-Class", "background"),
            ("X-Deadline-Seconds", "soon"),
            ("X-Deadline-Seconds", "nan"),
            ("X-Deadline-Seconds", "inf"),
            ("X-Deadline-Seconds", "0"),
            ("X-Deadline-Seconds", "601"),
        ],
    )
    def test_refused(self, name, value):
        verdict = parse_caller_headers({name: value}, ATLAS, ApiLimits()).error
        assert verdict.reason is Reason.INVALID_REQUEST
        assert name in verdict.detail

    def test_generated_request_id_is_valid(self):
        generated = make_request_id(bytes(range(16)))
        assert parse_request_id({"X-Request-Id": generated}).ok == generated


class TestModelList:
    def test_lists_models_that_exist(self):
        listed = json.loads(encode_models(CONFIGURATION, ATLAS))
        assert [entry["id"] for entry in listed["data"]] == ["frame"]
