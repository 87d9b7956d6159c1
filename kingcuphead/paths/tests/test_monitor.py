import pytest

from kingcuphead.paths import PathMonitor

TARGETS = "10.0.0.1:80", "10.0.0.2:80"


class TestPathMonitor:
    """Guards against tunnels that fill a link which is full and only delays."""

    @pytest.mark.parametrize("is_overloaded", [True, False])
    def test_failures_of_an_overloaded_daemon_are_no_loss_of_the_path(
        self, is_overloaded
    ):
        monitor = PathMonitor(lambda: is_overloaded)
        for target in TARGETS:
            monitor.record_failure(target, 1.0)
        monitor.record_loss()
        assert monitor.is_in_doubt is False
        assert monitor.is_lost is not is_overloaded

    def test_a_loss_is_found_once_the_link_has_room(self):
        loads = [True]
        monitor = PathMonitor(lambda: loads[-1])
        for target in TARGETS:
            monitor.record_failure(target, 1.0)
        assert not monitor.is_in_doubt
        loads.append(False)
        assert monitor.is_in_doubt

    def test_a_loss_is_found_while_callers_fill_the_link(self):
        """Guards against a lost path that is never found as the link stays full."""
        monitor = PathMonitor(lambda: True)
        for second in range(4):
            for target in TARGETS:
                monitor.record_failure(target, float(second))
        monitor.record_loss()
        assert monitor.is_lost

    def test_a_connection_that_opens_late_proves_the_path(self):
        """Guards against tunnels over a full link whose path is sound."""
        monitor = PathMonitor(lambda: True)
        for second in range(6):
            for target in TARGETS:
                monitor.record_failure(target, float(second))
            if second % 2:
                monitor.record_success()
            assert not monitor.is_in_doubt
