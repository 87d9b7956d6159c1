"""Run pytest and behave, set aside the faults of KNOWN-RED.txt, count the rest."""

import dataclasses
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FEATURES = ROOT / "features"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One test case with its result."""

    #: Name as KNOWN-RED.txt writes it.
    name: str
    #: Whether it passed.
    passed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Suite:
    """The result of one test runner."""

    #: Its test cases.
    cases: tuple[Case, ...]
    #: Whether it broke outside of its test cases.
    broken: bool


def read_known_red() -> tuple[str, ...]:
    """Return the test names that head the entries of KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text().splitlines()
    return tuple(line.split("|")[0].strip() for line in lines if "|" in line)


def read_cases(report: Path) -> Iterator[Case]:
    """Yield the cases of one JUnit report."""
    if not report.exists():
        return
    for node in ElementTree.parse(report).getroot().iter("testcase"):
        name = f"{node.get('classname')}.{node.get('name')}"
        failed = node.find("failure") is not None or node.find("error") is not None
        # A case that did not run proves nothing, so it counts as failed.
        passed = not failed and node.find("skipped") is None
        yield Case(name, passed)


def run_suite(command: list[str], reports: Callable[[], Iterable[Path]]) -> Suite:
    """Run one suite and read its reports."""
    code = subprocess.run(command, cwd=ROOT).returncode
    cases = tuple(case for path in reports() for case in read_cases(path))
    # A runner that fails without a failed case broke before it could report one.
    return Suite(cases, code != 0 and all(case.passed for case in cases))


def run_all(folder: Path) -> Iterator[Suite]:
    """Run both suites with their reports in a folder."""
    python = sys.executable
    report = folder / "pytest.xml"
    command = [python, "-m", "pytest", f"--junit-xml={report}"]
    yield run_suite(command, lambda: [report])
    reports = folder / "behave"
    command = [python, "-m", "behave", "--format=progress", "--junit"]
    command += [f"--junit-directory={reports}", str(FEATURES)]
    yield run_suite(command, lambda: sorted(reports.glob("*.xml")))


def main() -> int:
    """Run everything and print the closing line."""
    with tempfile.TemporaryDirectory() as folder:
        suites = tuple(run_all(Path(folder)))
    cases = [case for suite in suites for case in suite.cases]
    broken = sum(suite.broken for suite in suites)
    known = read_known_red()
    red = [case for case in cases if not case.passed and case.name in known]
    failed = [case for case in cases if not case.passed and case.name not in known]
    for case in red:
        print(f"known red: {case.name}")
    for case in failed:
        print(f"FAILED: {case.name}")
    passed = sum(case.passed for case in cases)
    print(f"{passed} passed, {len(failed) + broken} failed")
    return 1 if failed or broken or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
