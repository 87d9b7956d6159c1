import pathlib
import subprocess
import sys

import pytest

import kingcuphead

ROOT = pathlib.Path(kingcuphead.__file__).parents[1]
LIST_MODULES = "import kingcuphead.entry._daemon, sys; print(*sys.modules)"


@pytest.fixture(scope="module")
def loaded_modules():
    completed = subprocess.run(
        (sys.executable, "-c", LIST_MODULES),
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return frozenset(completed.stdout.split())


class TestEntryDaemonModules:
    """Guards against a start that loads packages of the other daemon."""

    @pytest.mark.parametrize(
        "package",
        [
            "kingcuphead.budgets",
            "kingcuphead.configuration",
            "kingcuphead.membership",
            "kingcuphead.records",
            "kingcuphead.settings",
            "kingcuphead.wire.generated.peer",
            "prometheus_client",
            "tornado.web",
        ],
    )
    def test_unused_packages_are_not_loaded(self, loaded_modules, package):
        assert package not in loaded_modules
