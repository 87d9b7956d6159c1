import copy
import json
from pathlib import Path

import pytest
from hypothesis import given, strategies as st

from kingcuphead.cli import main
from kingcuphead.review import MAX_FILE_BYTES, Severity, review

EXAMPLE = Path(__file__).parents[3] / "examples" / "routing.json"
CONTENT = EXAMPLE.read_bytes()
CONFIGURATION = json.loads(CONTENT)


def edit(path, value):
    """Return the example with the value at a path replaced, as JSON."""
    changed = copy.deepcopy(CONFIGURATION)
    part = changed
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = value
    return json.dumps(changed).encode()


ROUTE, SERVICE = CONFIGURATION["routes"][0], CONFIGURATION["services"][0]
TENANT = CONFIGURATION["tenants"][0]
R, S, T = ("routes", 0), ("services", 0), ("tenants", 0)


class TestFindings:
    def test_the_example_has_none(self):
        assert review(CONTENT).findings == ()

    @pytest.mark.parametrize(
        ("path", "value", "severity", "place", "cause"),
        [
            (
                (*R, "traffic_split"),
                [{"service": "large", "weight": 1}, {"service": "x", "weight": 1}],
                "error",
                'routes[0] "chat"',
                'service "x" does not exist',
            ),
            ((*R, "max_attempts"), 0, "error", 'routes[0] "chat"', "below 1"),
            (("routes",), [ROUTE, ROUTE], "error", "routes[1]", "same host"),
            (("services",), [SERVICE] * 2, "error", "services[1]", "of this name"),
            (
                ("tenants",),
                [TENANT, TENANT | {"name": "b"}],
                "error",
                'tenants[1] "b"',
                'also held by "atelier"',
            ),
            (
                ("services",),
                [SERVICE, {"name": "idle"}],
                "warning",
                'services[1] "idle"',
                "no route",
            ),
            ((*T, "api_keys"), [], "warning", "tenants[0]", "without keys"),
            (
                (*R, "traffic_split"),
                [{"service": "large", "weight": 0}],
                "warning",
                "routes[0]",
                "weight 0",
            ),
            ((*R, "target_latency_ms"), 60001, "warning", "routes[0]", "above timeout"),
            ((*R, "gap_aim_ms"), 1001, "warning", "routes[0]", "pause objective"),
            (
                (*S, "cold_per_s"),
                0,
                "warning",
                "services[0]",
                "without a limit of requests",
            ),
            (
                (*S, "engine", "kv_capacity_tokens"),
                524287,
                "warning",
                "services[0]",
                "65536 tokens (max_body_bytes 262144 / 4",
            ),
            ((*S, "engine", "kv_capacity_tokens"), 0, "warning", "services[0]", "is 0"),
            (("limits", "max_header_bytes"), 4095, "warning", "limits", "4095"),
        ],
    )
    def test_a_fault_is_reported_at_its_place(
        self, path, value, severity, place, cause
    ):
        findings = review(edit(path, value)).findings
        assert [each.severity for each in findings] == [severity]
        assert findings[0].place.startswith(place)
        assert cause in findings[0].cause


class TestUndecodable:
    @pytest.mark.parametrize(
        "content",
        [
            b"",
            b"\xff",
            b"[]",
            CONTENT[:-9],
            b" " * (MAX_FILE_BYTES + 1),
            b'{"version": 1, "x": ' + b"[" * 100_000,
        ],
        ids=["empty", "binary", "list", "truncated", "large", "nested"],
    )
    def test_it_is_an_error(self, content):
        assert review(content).has(Severity.ERROR)
        assert review(CONTENT, content).has(Severity.ERROR)

    @given(
        st.integers(0, len(CONTENT)),
        st.integers(0, len(CONTENT)),
        st.binary(max_size=9),
    )
    def test_mangled_json_raises_no_exception(self, start, end, inserted):
        content = CONTENT[:start] + inserted + CONTENT[end:]
        try:
            json.loads(content)
            is_json = True
        except ValueError:
            is_json = False
        result = review(content, CONTENT)
        assert is_json or result.has(Severity.ERROR)


class TestDifferences:
    @pytest.mark.parametrize(
        ("path", "value", "kind", "takes_away"),
        [
            (("routes",), [], "removed", True),
            (("routes",), [ROUTE, ROUTE | {"prefix": "/b/"}], "added", False),
            ((*R, "timeout_ms"), 30000, "changed", True),
            ((*R, "timeout_ms"), 90000, "changed", False),
            ((*T, "api_keys"), [], "removed", True),
            ((*T, "api_keys"), ["replace-this-key", "k2"], "added", False),
            ((*T, "prepaid"), 5, "changed", True),
            ((*T, "prepaid"), None, "changed", False),
            (("limits", "max_body_bytes"), 4096, "changed", True),
            ((*S, "engine", "slots"), 4, "changed", True),
        ],
    )
    def test_a_loss_of_callers_is_marked(self, path, value, kind, takes_away):
        differences = review(edit(path, value), CONTENT).differences
        assert [(each.kind, each.takes_away) for each in differences] == [
            (kind, takes_away)
        ]
        assert "replace-this-key" not in str(differences)

    @pytest.mark.parametrize(
        ("version", "is_error"), [(0, True), (1, True), (2, False)]
    )
    def test_the_version_must_be_higher(self, version, is_error):
        result = review(edit(("version",), version), CONTENT)
        assert result.has(Severity.ERROR) is is_error


class TestCommand:
    @pytest.mark.parametrize(
        ("content", "status"),
        [
            (CONTENT, 0),
            (edit(("limits", "max_header_bytes"), 1), 1),
            (b"{", 2),
            (None, 2),
        ],
    )
    def test_the_exit_status_is_the_worst_finding(
        self, tmp_path, capsys, content, status
    ):
        path = tmp_path / "routing.json"
        if content is not None:
            path.write_bytes(content)
        assert main(["check", str(path), "--json"], {}) == status
        assert json.loads(capsys.readouterr().out)["exit_code"] == status
        assert main(["check", str(path)], {}) == status
