import pytest

from kingcuphead.capacity import LINK_TRAFFIC, CallerConnections
from kingcuphead.capacity._connections import COUNT_PERIOD


def open_connections(traffic):
    """Return connections with bytes, from pairs of caller and bytes."""
    connections = CallerConnections()
    for key, (caller, count) in enumerate(traffic):
        connections.find(key, caller).record_received(count)
    return connections


def list_marked(connections, count):
    return [key for key in range(count) if connections.find(key, "").is_marked]


class TestCallerConnections:
    @pytest.mark.parametrize(
        ("traffic", "share", "expected"),
        [
            # The busiest connections come first.
            ([("a", 10), ("b", 40), ("c", 30), ("d", 20)], 0.7, [1, 2]),
            # The last one is the smallest that suffices.
            ([("a", 40), ("b", 30), ("c", 20), ("d", 10)], 0.5, [0, 3]),
            ([("a", 90), ("b", 10)], 0.1, [1]),
            # A part of a caller's connections comes before the rest of them.
            ([("a", 30), ("a", 30), ("a", 30), ("a", 30), ("b", 20)], 0.5, [0, 1, 4]),
            ([("a", 50), ("a", 50)], 0.5, [0]),
            # All of them if no part suffices.
            ([("a", 50), ("a", 50)], 0.8, [0, 1]),
            # Idle connections stay.
            ([("a", 100), ("b", 0), ("c", 0)], 1.0, [0]),
            ([("a", 0)], 0.5, []),
            ([], 0.5, []),
            ([("a", 50)], 0.0, []),
        ],
    )
    def test_no_more_connections_are_marked_than_needed(self, traffic, share, expected):
        connections = open_connections(traffic)
        assert connections.mark(share) == len(expected)
        assert list_marked(connections, len(traffic)) == expected

    def test_only_recent_traffic_counts(self):
        connections = open_connections([("a", 1_000), ("b", 10)])
        connections.rotate(COUNT_PERIOD)
        connections.rotate(2 * COUNT_PERIOD)
        connections.find(1, "b").record_sent(10)
        connections.mark(0.5)
        assert list_marked(connections, 2) == [1]

    def test_marked_connections_that_close_are_counted(self):
        connections = open_connections([("a", 50), ("b", 40), ("c", 10)])
        connections.mark(0.9)
        connections.remove(0)
        connections.remove(2)
        connections.remove("unknown")
        assert connections.closed == 1
        assert connections.marked_count == 1
        connections.unmark()
        assert connections.marked_count == 0

    def test_traffic_counts_for_the_link(self):
        sent, received = LINK_TRAFFIC.sent, LINK_TRAFFIC.received
        connection = CallerConnections().find(1, "a")
        connection.record_sent(30)
        connection.record_received(20)
        assert (LINK_TRAFFIC.sent - sent, LINK_TRAFFIC.received - received) == (30, 20)
