import random

import pytest

from kingcuphead.paths import PathMonitor, PeerPaths
from kingcuphead.paths._monitor import FAILURE_LIFETIME
from kingcuphead.paths._peers import FAILURE_PERIOD, REPORT_LIFETIME

PEERS = tuple((f"10.0.0.{number}", 1) for number in range(4))


class TestPathMonitor:
    @pytest.mark.parametrize(
        ("failures", "is_in_doubt"),
        [
            ([("t1", 0.0)], False),
            ([("t1", 0.0), ("t1", 0.1)], False),
            ([("t1", 0.0), ("t2", 0.1)], True),
            ([("t1", 0.0), ("t2", FAILURE_LIFETIME + 0.1)], False),
        ],
    )
    def test_two_targets_without_a_connection_make_it_doubtful(
        self, failures, is_in_doubt
    ):
        monitor = PathMonitor()
        for address, now in failures:
            monitor.record_failure(address, now)
        assert monitor.is_in_doubt is is_in_doubt
        monitor.record_loss()
        assert monitor.is_lost is is_in_doubt

    def test_a_connection_in_between_shows_that_there_is_a_path(self):
        monitor = PathMonitor()
        monitor.record_failure("t1", 0.0)
        monitor.record_success()
        monitor.record_failure("t2", 0.1)
        monitor.record_loss()
        assert not monitor.is_lost

    def test_a_connection_ends_the_loss(self):
        monitor = PathMonitor()
        monitor.record_failure("t1", 0.0)
        monitor.record_failure("t2", 0.1)
        monitor.record_loss()
        assert monitor.is_lost
        monitor.record_success()
        assert not monitor.is_lost
        assert not monitor.is_in_doubt


class TestPeerPaths:
    def make(self):
        peer_paths = PeerPaths(random.Random(1))
        peer_paths.apply_peers(PEERS)
        return peer_paths

    def test_daemons_that_reach_targets_are_asked_first(self):
        peer_paths = self.make()
        peer_paths.record_report(PEERS[2], False, 0.0)
        assert peer_paths.list_helpers(0.1)[0] == PEERS[2]
        assert set(peer_paths.list_helpers(REPORT_LIFETIME + 0.1)) == set(PEERS)

    def test_daemons_that_are_cut_off_or_failed_are_passed_over_for_a_while(self):
        peer_paths = self.make()
        peer_paths.record_report(PEERS[0], True, 0.0)
        peer_paths.record_failure(PEERS[1], 0.0)
        assert set(peer_paths.list_helpers(0.1)) == {PEERS[2], PEERS[3]}
        assert set(peer_paths.list_helpers(FAILURE_PERIOD + 0.1)) == set(PEERS)

    def test_a_daemon_that_left_is_not_asked(self):
        peer_paths = self.make()
        peer_paths.record_report(PEERS[0], False, 0.0)
        peer_paths.apply_peers(PEERS[1:])
        assert PEERS[0] not in peer_paths.list_helpers(0.1)
