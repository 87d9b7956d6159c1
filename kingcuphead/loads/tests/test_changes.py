import pytest

from kingcuphead.loads import REPORT_LIFETIME, TargetLoad
from kingcuphead.loads._changes import (
    MAX_SKIPPED_EMPTY_REPORTS,
    MAX_SKIPPED_REPORTS,
    REPORT_INTERVAL,
    LoadChanges,
)
from kingcuphead.permits._ranking import CONTACT_TIMEOUT

NONE: tuple[TargetLoad, ...] = ()
ONE = (TargetLoad("t1", 1, 0),)
OTHER = (TargetLoad("t2", 1, 0),)
MANY = (TargetLoad("t1", 8, 4_000), TargetLoad("t2", 1, 0))


def make_changes():
    """Return the changes of a daemon in a large fleet."""
    changes = LoadChanges()
    changes.reports_all_changes = False
    return changes


def list_reports(loads, changes=None, **options):
    """Return whether each of these loads, one for each interval, is reported."""
    changes = changes or make_changes()
    settings = {"is_cut_off": False, "is_urgent": False} | options
    return [changes.is_report_due(each, **settings) for each in loads]


class TestLoadChanges:
    @pytest.mark.parametrize(
        ("loads", "reports"),
        [
            ((ONE, NONE, OTHER), (False, False, False)),
            ((ONE, ONE), (False, True)),
            ((ONE, ONE, NONE, ONE), (False, True, False, False)),
            ((ONE, ONE, NONE, NONE), (False, True, False, True)),
        ],
    )
    def test_a_change_of_few_requests_counts_when_seen_twice(self, loads, reports):
        assert list_reports(loads) == list(reports)

    @pytest.mark.parametrize(
        ("load", "is_reported"),
        [
            (TargetLoad("t1", 10, 4_000), False),
            (TargetLoad("t1", 11, 4_000), True),
            (TargetLoad("t1", 6, 4_000), False),
            (TargetLoad("t1", 5, 4_000), True),
            (TargetLoad("t1", 8, 5_000), False),
            (TargetLoad("t1", 8, 5_001), True),
            (TargetLoad("t3", 8, 4_000), True),
        ],
    )
    def test_of_more_requests_a_quarter_counts_at_once(self, load, is_reported):
        assert list_reports((MANY, (load, MANY[1]))) == [True, is_reported]

    def test_an_announced_change_counts_at_once(self):
        """Guards against a large prompt that other daemons learn of too late."""
        assert list_reports((ONE,), is_urgent=True) == [True]

    def test_a_lost_path_is_reported_at_once(self):
        assert list_reports((NONE, NONE), is_cut_off=True) == [True, False]

    def test_loads_are_reported_again_before_receivers_drop_them(self):
        reports = list_reports((ONE,) * 20)
        second = reports.index(True, 2)
        assert second == 1 + MAX_SKIPPED_REPORTS + 1
        assert (MAX_SKIPPED_REPORTS + 1) * REPORT_INTERVAL < REPORT_LIFETIME

    def test_a_daemon_without_load_stays_in_contact(self):
        """Guards against idle daemons that take each other to be unreachable."""
        interval = MAX_SKIPPED_EMPTY_REPORTS + 1
        assert list_reports((NONE,) * interval) == [False] * (interval - 1) + [True]
        assert 2 * interval * REPORT_INTERVAL < CONTACT_TIMEOUT


class TestSmallFleet:
    def test_each_change_is_reported_at_once(self):
        """Guards against placement by old loads where reports reach all daemons."""
        changes = LoadChanges()
        for running in (1, 2, 1):
            assert changes.is_report_due([TargetLoad("t", running, 0)], False, False)
