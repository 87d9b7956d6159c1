import pytest

from kingcuphead.quarantine import (
    Crash,
    CrashReported,
    FingerprintQuarantined,
    FingerprintReleased,
    Quarantine,
    QuarantineSettings,
)


@pytest.fixture
def quarantine():
    return Quarantine(QuarantineSettings(capacity=4))


def record_crash(quarantine, fingerprint, target, now, is_early=True):
    return quarantine.record_crash(Crash(fingerprint, target, is_early), now)


class TestQuarantine:
    def test_second_crashed_target_starts_the_quarantine(self, quarantine):
        assert record_crash(quarantine, "f", "t1", 0.0) == (CrashReported("f", "t1"),)
        assert record_crash(quarantine, "f", "t1", 5.0) == (CrashReported("f", "t1"),)
        assert not quarantine.is_quarantined("f", 5.0)
        effects = record_crash(quarantine, "f", "t2", 6.0)
        assert FingerprintQuarantined("f", 3600.0) in effects
        assert quarantine.is_quarantined("f", 6.0)
        assert quarantine.describe(6.0)[0].targets == ("t1", "t2")

    def test_late_requests_are_not_suspect_if_an_early_one_ran(self, quarantine):
        for number in (1, 2):
            record_crash(quarantine, "early", f"t{number}", 10.0 * number)
            record_crash(
                quarantine, "late", f"t{number}", 10.0 * number, is_early=False
            )
            quarantine.tick(10.0 * number + 1)
        assert quarantine.is_quarantined("early", 21.0)
        assert not quarantine.is_suspect("late")

    def test_late_request_is_suspect_if_no_early_one_ran(self, quarantine):
        record_crash(quarantine, "f", "t1", 0.0, is_early=False)
        assert quarantine.tick(1.5) == (CrashReported("f", "t1"),)

    def test_complete_answer_clears_the_suspicion(self, quarantine):
        record_crash(quarantine, "f", "t1", 0.0)
        quarantine.clear_suspicion("f")
        record_crash(quarantine, "f", "t2", 1.0)
        assert not quarantine.is_quarantined("f", 1.0)

    def test_crashes_reported_by_peers_count(self, quarantine):
        record_crash(quarantine, "f", "t1", 0.0)
        quarantine.apply_peer_crash("f", "t2", 1.0)
        assert quarantine.is_quarantined("f", 1.0)

    def test_release_overrides_delayed_gossip(self, quarantine):
        quarantine.apply_peer_quarantine("f", 100.0, 50.0)
        assert quarantine.release("f", 51.0) == (FingerprintReleased("f"),)
        quarantine.apply_peer_quarantine("f", 99.0, 51.1)
        assert not quarantine.is_quarantined("f", 51.2)

    def test_release_by_a_peer_overrides_delayed_gossip(self, quarantine):
        quarantine.apply_peer_crash("f", "t1", 50.0)
        quarantine.apply_peer_crash("f", "t2", 50.0)
        quarantine.apply_peer_release("f", 51.0)
        quarantine.apply_peer_crash("f", "t1", 51.1)
        assert not quarantine.is_quarantined("f", 51.2)
        assert not quarantine.is_suspect("f")

    def test_entry_expires(self, quarantine):
        quarantine.apply_peer_quarantine("f", 100.0, 0.0)
        quarantine.tick(100.0)
        assert quarantine.describe(100.0) == ()

    def test_number_of_entries_is_bounded(self, quarantine):
        for number in range(10):
            quarantine.apply_peer_quarantine(f"f{number}", 100.0, float(number))
        assert len(quarantine.describe(10.0)) == 4
