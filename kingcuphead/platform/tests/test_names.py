"""Checks that the platform's wire names occur in the `platform` package only."""

import re
from pathlib import Path

import kingcuphead

ROOT = Path(kingcuphead.__file__).parent
WIRE_NAMES = re.compile(
    r"Attempt-Id|Token-Counts|Prompt-Prefix|Response-Seal|Not-Executed|Deadline-Ms"
    r"|Expect-Instance|Api-Key|Request-Priority|rows-(tx|get|feed)|target_latency_ms"
    r"|traffic_split|cold_left_ms|cold_per_s|cold_start_s|bounds\.cold|evacuate/"
    r"|KINGCUPHEAD_CONFIG|api/ready"
)


class TestNames:
    def test_wire_names_occur_only_in_this_package(self):
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in ROOT.rglob("*.py")
            if "tests" not in path.parts and path.parent != ROOT / "platform"
            for match in WIRE_NAMES.finditer(path.read_text())
        ]
        assert not found
