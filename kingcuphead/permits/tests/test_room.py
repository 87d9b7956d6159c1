import pytest

from kingcuphead.permits._room import (
    RAMP_INTERVAL,
    REJECTION_PENALTY,
    REPORT_LIFETIME,
    OpenRequests,
    TargetRoom,
)

#: Seconds after which a coordinator grants all places.
RAMPED = 100 * RAMP_INTERVAL
PLACES = 4


def make_room(*reports, now=RAMPED):
    room = TargetRoom(0.0)
    for report in reports:
        room.record(report, now)
    return room


class TestTargetRoom:
    @pytest.mark.parametrize(
        ("others", "has_place"), [(0, True), (3, True), (4, False)]
    )
    def test_requests_of_all_daemons_count(self, others, has_place):
        room = make_room(OpenRequests("a", 1, others))
        assert room.has_place(OpenRequests("b", 1, 1), PLACES, RAMPED) is has_place

    def test_an_older_report_changes_nothing(self):
        room = make_room(OpenRequests("a", 2, 4), OpenRequests("a", 1, 0))
        assert not room.has_place(OpenRequests("b", 1, 1), PLACES, RAMPED)

    def test_a_daemon_that_has_restarted_is_counted(self):
        """It numbers its reports from the start again, at the address it had."""
        room = make_room(OpenRequests("a", 900, 1))
        later = RAMPED + REPORT_LIFETIME
        room.record(OpenRequests("a", 1, 4), later)
        assert not room.has_place(OpenRequests("b", 1, 1), PLACES, later)

    def test_a_daemon_that_reports_no_more_holds_no_places(self):
        room = make_room(OpenRequests("a", 1, 4))
        later = RAMPED + REPORT_LIFETIME + 0.1
        assert room.has_place(OpenRequests("b", 1, 1), PLACES, later)

    def test_a_new_coordinator_grants_few_places_until_others_have_reported(self):
        room = TargetRoom(0.0)
        assert room.has_place(OpenRequests("a", 1, 1), PLACES, 0.0)
        assert not room.has_place(OpenRequests("a", 1, 2), PLACES, 0.0)
        assert room.has_place(OpenRequests("a", 1, PLACES), PLACES, RAMPED)

    def test_a_rejection_makes_room_for_one_request_less_for_a_while(self):
        room = make_room()
        room.record_rejection(RAMPED)
        wanted = OpenRequests("a", 1, PLACES)
        assert not room.has_place(wanted, PLACES, RAMPED)
        assert room.has_place(wanted, PLACES, RAMPED + REJECTION_PENALTY + 0.1)

    def test_one_request_is_always_let_through(self):
        """Its answer may say that the target is no longer brittle."""
        room = make_room()
        for _ in range(10):
            room.record_rejection(RAMPED)
        assert room.has_place(OpenRequests("a", 1, 1), PLACES, RAMPED)
