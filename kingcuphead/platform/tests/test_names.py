"""Names of the platform's wire stand in its folder only."""

import re
from pathlib import Path

import kingcuphead

ROOT = Path(kingcuphead.__file__).parent
NAMES = re.compile(
    r"Attempt-Id|Token-Counts|Prompt-Prefix|Response-Seal|Not-Executed|Deadline-Ms"
    r"|Expect-Instance|Api-Key|Request-Priority|rows-(tx|get|feed)|target_latency_ms"
    r"|traffic_split|cold_left_ms|KINGCUPHEAD_CONFIG|api/ready"
)


class TestNames:
    def test_no_name_of_the_wire_stands_elsewhere(self):
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in ROOT.rglob("*.py")
            if "tests" not in path.parts and path.parent != ROOT / "platform"
            for match in NAMES.finditer(path.read_text())
        ]
        assert not found
