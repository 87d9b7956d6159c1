import dataclasses
import enum
import re
from pathlib import Path
from typing import get_type_hints

import pytest

from kingcuphead.logs import LogFormat
from kingcuphead.settings import (
    KeyFault,
    Settings,
    load_settings,
    parse_settings,
)

EXAMPLE = Path(__file__).resolve().parents[3] / "examples" / "kingcupheadd.ini"
DIGEST = "0" * 64
MINIMAL = f"""
[instance]
name = a
zone = z
region = r
[listen]
address = 127.0.0.1
[platform]
url = http://127.0.0.1:9000
[operators]
token_digests = {DIGEST} {DIGEST}
"""


def find_faults(text: str) -> tuple[KeyFault, ...]:
    return parse_settings(text, "test.ini").error.faults


class TestParsing:
    def test_missing_keys_get_their_defaults(self):
        settings = parse_settings(MINIMAL + "[logs]\nformat = text\n", "test.ini").ok
        assert settings.logs.format is LogFormat.TEXT
        assert settings.listen.caller_port == 8080
        assert settings.operators.token_digests == (DIGEST, DIGEST)

    @pytest.mark.parametrize(
        ("addition", "section", "key", "allowed"),
        [
            ("[budgets]\nshards = 0", "budgets", "shards", "an integer from 1 to 4096"),
            ("[budgets]\nshards = x", "budgets", "shards", "an integer from 1 to 4096"),
            ("[limits]\nbody = 1", "limits", "body", "body_bytes, header_bytes"),
            ("[logs]\nlevel = loud", "logs", "level", "debug or info or"),
            ("[router]\na = 1", "router", None, "instance, listen"),
            (
                "[configuration]\nrefuse_seconds = 10",
                "configuration",
                "refuse_seconds",
                "more than stale_seconds",
            ),
            ("[shutdown]\ngrace_seconds = nan", "shutdown", "grace_seconds", "0.01"),
        ],
    )
    def test_fault_names_section_key_and_allowed_values(
        self, addition, section, key, allowed
    ):
        (fault,) = find_faults(f"{MINIMAL}{addition}\n")
        assert (fault.section, fault.key) == (section, key)
        assert allowed in fault.allowed

    @pytest.mark.parametrize("address", ["localhost", "256.1.1.1", "1.2.3", "::1"])
    def test_only_ipv4_addresses_are_accepted(self, address):
        (fault,) = find_faults(MINIMAL.replace("= 127.0.0.1", f"= {address}"))
        assert (fault.key, fault.value) == ("address", address)

    def test_all_faults_are_reported_together(self):
        text = "[instance]\nname = A B\n[budgets]\nshards = 0\nshard = 1\n[x]\n"
        faults = find_faults(text)
        reported = {(fault.section, fault.key) for fault in faults}
        assert reported == {
            ("x", None),
            ("instance", "name"),
            ("instance", "zone"),
            ("instance", "region"),
            ("listen", "address"),
            ("platform", "url"),
            ("operators", "token_digests"),
            ("budgets", "shard"),
            ("budgets", "shards"),
        }

    @pytest.mark.parametrize("text", ["name = 1", "[a]\n[a]\n", "[logs]\nx\n"])
    def test_malformed_file_is_a_fault(self, text):
        assert find_faults(text)[0].section == "file"

    def test_missing_file_is_a_fault(self, tmp_path):
        fault = load_settings(tmp_path / "none.ini").error
        assert "none.ini" in fault.message


class TestExample:
    def test_loads(self):
        assert load_settings(EXAMPLE).is_ok()

    def test_lists_every_key_with_its_default(self):
        written = re.findall(r"^#?(\w+) = (.*)$", EXAMPLE.read_text(), re.MULTILINE)
        expected = []
        for section in get_type_hints(Settings).values():
            for field in dataclasses.fields(section):
                expected.append((field.name, field.default))
        assert [key for key, _ in written] == [key for key, _ in expected]
        for (key, value), (_, default) in zip(written, expected, strict=True):
            if default is not dataclasses.MISSING:
                shown = default.value if isinstance(default, enum.Enum) else default
                assert (key, value) == (key, str(shown))
