import dataclasses

import pytest

from kingcuphead.targets import (
    Availability,
    ColdLimit,
    ColdStart,
    Target,
    TargetDirectory,
)

#: Unix time at the beginning of each test, in milliseconds.
EPOCH_MS = 1_000_000
TARGET = Target("t1", "pool", "10.0.0.1:80", "z", 4, Availability.READY, 1, 1)
START = ColdStart(8.0, 2.0)


class Clock:
    """The clock of the daemon, which begins at 0."""

    def __init__(self):
        self.now = 0.0

    def read(self):
        return self.now

    def read_unix_time(self):
        return EPOCH_MS / 1000 + self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def directory(clock):
    directory = TargetDirectory(clock.read, clock.read_unix_time)
    directory.apply_cold_starts({"pool": START})
    return directory


def make_entry(cold_left=None, sequence=1, started_at_ms=1):
    return dataclasses.replace(
        TARGET,
        cold_left=cold_left,
        sequence=sequence,
        started_at_ms=started_at_ms,
    )


def put(directory, *entries):
    directory.record_read(0.0)
    for entry in entries:
        list(directory.put(entry))


def find_end(directory, clock):
    """Return the first whole second at which the target isn't cold."""
    while directory.is_cold(TARGET):
        clock.now += 1
    return clock.now


class TestColdTargets:
    """Guards against a rush to targets that are slow after a start or a pause."""

    @pytest.mark.parametrize(
        ("entries", "end"),
        [
            ([make_entry()], 0),
            ([make_entry(0.0)], 0),
            ([make_entry(5.0)], 5),
            ([make_entry(5.0), make_entry(3.0, sequence=2)], 3),
            ([make_entry(0.0), make_entry(4.0, sequence=2)], 4),
            # A restored store returns an earlier entry.
            ([make_entry(5.0, sequence=2), make_entry(0.0, sequence=1)], 5),
        ],
    )
    def test_the_newest_entry_counts(self, directory, clock, entries, end):
        put(directory, *entries)
        assert find_end(directory, clock) == end

    def test_an_entry_that_is_read_again_does_not_begin_again(self, directory, clock):
        put(directory, make_entry(5.0))
        clock.now = 3.0
        list(directory.replace_all([make_entry(5.0)], 3.0))
        assert find_end(directory, clock) == 5

    @pytest.mark.parametrize(
        ("age", "cold_left", "end"),
        [
            (2.0, 0.0, 6),
            # The clock of the target may be ahead.
            (2.0, None, 8),
            (9.0, None, 2),
            (9.0, 0.0, 0),
            (12.0, None, 0),
            # It can't have started after its entry was read.
            (-500.0, None, 8),
            (2.0, 7.0, 7),
        ],
    )
    def test_a_target_is_cold_after_its_start(
        self, directory, clock, age, cold_left, end
    ):
        started_at_ms = int(EPOCH_MS - 1000 * age)
        entry = make_entry(cold_left, started_at_ms=started_at_ms)
        put(directory, entry)
        while directory.is_cold(entry):
            clock.now += 1
        assert clock.now == end

    @pytest.mark.parametrize(
        ("start", "cold_left", "answers", "end"),
        [
            (START, 0.0, [5.0], 5),
            (START, 0.0, [5.0, 3.0], 3),
            # The latest of entry and answer counts.
            (START, 4.0, [0.0], 4),
            (START, 4.0, [6.0], 6),
            # A service without a limit is served as before the header was read.
            (ColdStart(8.0, None), 0.0, [5.0], 0),
            (ColdStart(8.0, None), 4.0, [6.0], 4),
        ],
    )
    def test_a_target_states_in_an_answer_that_it_is_cold(
        self, directory, clock, start, cold_left, answers, end
    ):
        directory.apply_cold_starts({"pool": start})
        put(directory, make_entry(cold_left))
        for seconds in answers:
            directory.record_cold(TARGET, seconds)
        assert find_end(directory, clock) == end

    @pytest.mark.parametrize("name", ["t1", "t2"])
    def test_an_answer_of_an_unknown_incarnation_changes_nothing(self, directory, name):
        put(directory, make_entry(0.0))
        earlier = dataclasses.replace(TARGET, name=name, started_at_ms=2)
        directory.record_cold(earlier, 5.0)
        assert directory.cold_count == 0

    def test_another_incarnation_has_a_state_of_its_own(self, directory):
        put(directory, make_entry(5.0))
        assert not directory.is_cold(make_entry(started_at_ms=2))

    @pytest.mark.parametrize(
        ("entries", "end"),
        [
            ([], 8),
            ([make_entry(None, sequence=2)], 8),
            ([make_entry(0.0, sequence=2)], 0),
            ([make_entry(3.0, sequence=2)], 3),
        ],
    )
    def test_a_zone_that_is_taken_back_is_cold_until_its_entries_tell(
        self, directory, clock, entries, end
    ):
        put(directory, make_entry(0.0))
        list(directory.evacuate_zone("z"))
        list(directory.readmit_zone("z"))
        assert directory.is_cold(TARGET)
        put(directory, *entries)
        assert find_end(directory, clock) == end

    @pytest.mark.parametrize(
        ("start", "end"), [(ColdStart(0.0, 2.0), 5), (ColdStart(0.0, None), 0)]
    )
    def test_services_without_cold_starts_are_warm_when_taken_back(
        self, directory, clock, start, end
    ):
        directory.apply_cold_starts({"pool": start})
        put(directory, make_entry())
        list(directory.evacuate_zone("z"))
        list(directory.readmit_zone("z"))
        assert find_end(directory, clock) == end

    def test_the_count_falls_when_targets_become_warm(self, directory, clock):
        put(directory, make_entry(5.0))
        assert directory.cold_count == 1
        clock.now = 6.0
        list(directory.tick(6.0))
        assert directory.cold_count == 0


class TestColdLimit:
    @pytest.mark.parametrize(
        ("start", "cold_left", "age", "limit"),
        [
            (START, 5.0, 0.0, ColdLimit(2.0, is_certain=True)),
            (START, 0.0, 0.0, None),
            (START, 0.0, 2.9, None),
            # A target may become cold while the store tells nothing.
            (START, 0.0, 3.1, ColdLimit(2.0, is_certain=False)),
            (ColdStart(8.0, None), 5.0, 0.0, None),
            (ColdStart(8.0, None), 0.0, 3.1, None),
        ],
    )
    def test_requests_to_cold_targets_are_limited(
        self, directory, clock, start, cold_left, age, limit
    ):
        directory.apply_cold_starts({"pool": start})
        put(directory, make_entry(cold_left))
        clock.now += age
        assert directory.find_cold_limit(TARGET) == limit

    @pytest.mark.parametrize(
        ("cold_left", "age", "incarnation", "is_warm"),
        [
            (0.0, 0.0, "t1@1", True),
            (5.0, 0.0, "t1@1", False),
            (0.0, 3.1, "t1@1", False),
            (0.0, 0.0, "t1@2", False),
            (0.0, 0.0, "t2@1", False),
        ],
    )
    def test_only_a_daemon_with_the_store_knows_that_a_target_is_warm(
        self, directory, clock, cold_left, age, incarnation, is_warm
    ):
        put(directory, make_entry(cold_left))
        clock.now += age
        assert directory.is_known_warm(incarnation) is is_warm
