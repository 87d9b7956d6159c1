import pytest

from kingcuphead.paths import PathMonitor

TARGETS = "10.0.0.1:80", "10.0.0.2:80"


class TestPathMonitor:
    """Guards against tunnels that fill a link which is full and only delays."""

    @pytest.mark.parametrize("is_link_full", [True, False])
    def test_failures_on_a_full_link_are_no_loss_of_the_path(self, is_link_full):
        monitor = PathMonitor(lambda: is_link_full)
        for target in TARGETS:
            monitor.record_failure(target, 1.0)
        monitor.record_loss()
        assert monitor.is_in_doubt is False
        assert monitor.is_lost is not is_link_full

    def test_a_loss_is_found_once_the_link_has_room(self):
        loads = [True]
        monitor = PathMonitor(lambda: loads[-1])
        for target in TARGETS:
            monitor.record_failure(target, 1.0)
        assert not monitor.is_in_doubt
        loads.append(False)
        assert monitor.is_in_doubt
