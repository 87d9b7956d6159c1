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


def list_paths(value, path=()):
    """Return the paths of all values within a value."""
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, part in items:
            yield (*path, key)
            yield from list_paths(part, (*path, key))


PATHS = list(list_paths(CONFIGURATION))
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda part: (
        st.lists(part, max_size=3)
        | st.dictionaries(st.sampled_from(["name", "service", "weight", "x"]), part)
    ),
    max_leaves=5,
)
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
            (("limits", "max_body_bytes"), 0, "error", "limits", "below 1"),
            (("limits", "idle_timeout_ms"), 0, "error", "limits", "not above 0"),
            ((*R, "host"), "api.example:80", "error", "routes[0]", "without a port"),
            ((*R, "prefix"), "/chat", "error", "routes[0]", "end with a slash"),
            ((*R, "prefix"), "/chat/?a/", "error", "routes[0]", "query string"),
            ((*R, "timeout_ms"), "nan", "error", "routes[0]", "not above 0"),
            ((*R, "kind"), "stream", "warning", "routes[0]", "unsafe is used"),
            ((*R, "timout_ms"), 1, "warning", "routes[0]", "did you mean timeout_ms"),
            (("tennants",), [], "warning", "file", "did you mean tenants?"),
            ((*S, "engine", "x"), 1, "warning", "services[0].engine", '"x"'),
            ((*S, "cold_per_s"), "many", "warning", "services[0]", 'cold_per_s "many"'),
            ((*S, "max_connections"), 7, "warning", "services[0]", "8 slots"),
            ((*T, "prepaid"), 65535, "warning", "tenants[0]", "65536 tokens"),
            ((*T, "api_keys"), ["a", "a"], "warning", "tenants[0]", "more than once"),
            ((*T, "api_keys"), [""], "error", "tenants[0]", "an empty key"),
            ((*R, "timeout_ms"), "soon", "error", "routes[0].timeout_ms", "`float`"),
            ((*S, "engine", "slots"), [], "error", "services[0].engine.slots", "`int`"),
            ((*R, "timeout_ms"), 10**400, "error", "routes[0].timeout_ms", "range"),
            (("x",), 10**400, "warning", "file", "unknown field"),
            (("tenants",), [TENANT, 5], "error", "tenants[1]", "`object`"),
            (("routes",), {}, "error", "routes", "`array`"),
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
        ("content", "place", "cause"),
        [
            (b"  \n", "file", "empty"),
            (b"[]", "file", "`object`"),
            (b"routes: chat", "line 1, column 1", "malformed"),
            (b'{"version": 1,\n "routes": [],}', "line 2, column 15", "trailing comma"),
            (b'{"version": 1,\n "routes"', "line 2, column 10", "cut off"),
            (b'{"version": 1, "x": "\xff"}', "file", "UTF-8"),
            (b'{"routes": []}', "file", "`version`"),
        ],
    )
    def test_the_message_gives_place_and_cause(self, content, place, cause):
        (finding,) = review(content).findings
        assert finding.place == place
        assert cause in finding.cause

    def test_all_parts_of_a_wrong_type_are_reported(self):
        content = edit(("routes",), [ROUTE | {"host": 1}, ROUTE, {}])
        places = [each.place for each in review(content).findings]
        assert places == ["routes[0].host", "routes[2]"]

    def test_a_name_from_the_file_cannot_change_a_terminal(self):
        content = edit((*R, "name"), "\x1b[31m\x9b\n" * 99)
        finding = review(content.replace(b'"large"', b'"gone"', 1)).findings[0]
        assert finding.place.isprintable()
        assert len(finding.place) < 150

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

    @given(st.data(), JSON_VALUES)
    def test_any_value_at_any_place_is_handled(self, data, value):
        """Guards against a value that decodes but that a check can't handle."""
        path = data.draw(st.sampled_from(PATHS))
        content = edit(path, value)
        result = review(content, CONTENT)
        is_decoded = not any("decoded" in each.cause for each in result.findings)
        assert is_decoded or result.has(Severity.ERROR)
        assert not review(content, content).differences
        for each in result.differences:
            assert each.describe()

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
            ((*R, "priority"), 6, "changed", True),
            ((*R, "priority"), 4, "changed", False),
            ((*R, "target_latency_ms"), 2000, "changed", True),
            ((*R, "kind"), "unsafe", "changed", True),
            ((*R, "kind"), "safe", "changed", False),
            ((*R, "service"), "other", "changed", False),
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
