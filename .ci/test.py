"""Run pytest and behave; tolerate and print the failures listed in KNOWN-RED.txt."""

import dataclasses
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
#: List of failing tests that CI tolerates, one entry per test.
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
FEATURES = ROOT / "features"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Result of one test case."""

    #: Name in the format of KNOWN-RED.txt, `classname.name` of the JUnit report.
    name: str
    #: Whether the case ran and passed.
    passed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Suite:
    """Result of one test runner."""

    #: Results of its test cases, in the order of the reports.
    cases: tuple[Case, ...]
    #: Whether the runner failed although no test case did.
    runner_failed: bool


def read_known_failures() -> tuple[str, ...]:
    """Return the test names with which the entries of KNOWN-RED.txt start."""
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return tuple(line.split("|")[0].strip() for line in lines if "|" in line)


def read_cases(report: Path) -> Iterator[Case]:
    """Yield the test cases of one JUnit report; none if the file is missing."""
    if not report.exists():
        return
    for node in ElementTree.parse(report).getroot().iter("testcase"):
        name = f"{node.get('classname')}.{node.get('name')}"
        failed = node.find("failure") is not None or node.find("error") is not None
        # A skipped case shows nothing about the code, so it counts as failed.
        passed = not failed and node.find("skipped") is None
        yield Case(name, passed)


def run_suite(command: list[str], reports: Callable[[], Iterable[Path]]) -> Suite:
    """Run the command of one test runner and read its JUnit reports."""
    status = subprocess.run(command, cwd=ROOT).returncode
    cases = tuple(case for path in reports() for case in read_cases(path))
    # A runner that fails without a failed case ended before it could report one.
    return Suite(cases, status != 0 and all(case.passed for case in cases))


def run_all(folder: Path) -> Iterator[Suite]:
    """Run pytest and behave, with their JUnit reports in a folder."""
    python = sys.executable
    report = folder / "pytest.xml"
    command = [python, "-m", "pytest", f"--junit-xml={report}"]
    yield run_suite(command, lambda: [report])
    reports = folder / "behave"
    command = [python, "-m", "behave", "--format=progress", "--junit"]
    command += [f"--junit-directory={reports}", str(FEATURES)]
    yield run_suite(command, lambda: sorted(reports.glob("*.xml")))


def main() -> int:
    """Run all tests, print the failures and the totals, and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        suites = tuple(run_all(Path(folder)))
    cases = [case for suite in suites for case in suite.cases]
    runner_failures = sum(suite.runner_failed for suite in suites)
    known_names = read_known_failures()
    known = [c for c in cases if not c.passed and c.name in known_names]
    failed = [c for c in cases if not c.passed and c.name not in known_names]
    for case in known:
        print(f"known red: {case.name}")
    for case in failed:
        print(f"FAILED: {case.name}")
    passed = sum(case.passed for case in cases)
    print(f"{passed} passed, {len(failed) + runner_failures} failed")
    return 1 if failed or runner_failures or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
