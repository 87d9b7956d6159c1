from kingcuphead.permits._gate import TargetGate
from kingcuphead.targets import Availability, Target

TARGETS = tuple(
    Target(f"t{number}", "pool", f"10.0.0.{number}:80", "z", 8, Availability.READY, 1)
    for number in range(4)
)


class TestTargetGate:
    """A target that asks for time gets nothing until that time has passed."""

    def test_a_closed_target_is_open_when_its_time_has_passed(self):
        gate = TargetGate()
        gate.close(TARGETS[0], 2.0, 0.0)
        for now in (0.1, 1.9):
            assert not gate.is_open(TARGETS[0], now)
            assert gate.is_open(TARGETS[1], now)
        assert gate.is_open(TARGETS[0], 2.1)

    def test_the_earliest_end_is_known_when_all_are_closed(self):
        gate = TargetGate()
        assert gate.get_delay(TARGETS, 0.0) is None
        for number, target in enumerate(TARGETS):
            gate.close(target, 1.0 + number, 0.0)
        assert gate.get_delay(TARGETS, 0.25) == 0.75
        assert gate.get_delay((), 0.25) is None

    def test_a_shorter_time_does_not_end_a_longer_one(self):
        gate = TargetGate()
        gate.close(TARGETS[0], 3.0, 0.0)
        gate.close(TARGETS[0], 0.5, 0.0)
        assert gate.get_delay(TARGETS[:1], 1.0) == 2.0

    def test_another_incarnation_is_open(self):
        gate = TargetGate()
        gate.close(TARGETS[0], 3.0, 0.0)
        gate.forget(TARGETS[0])
        assert gate.is_open(TARGETS[0], 1.0)
