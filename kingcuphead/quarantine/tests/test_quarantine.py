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


def crash(quarantine, fingerprint, target, now, is_early=True):
    return quarantine.record(Crash(fingerprint, target, is_early), now)


class TestQuarantine:
    def test_second_target_decides(self, quarantine):
        assert crash(quarantine, "f", "t1", 0.0) == (CrashReported("f", "t1"),)
        assert crash(quarantine, "f", "t1", 5.0) == (CrashReported("f", "t1"),)
        assert not quarantine.is_quarantined("f", 5.0)
        effects = crash(quarantine, "f", "t2", 6.0)
        assert FingerprintQuarantined("f", 3600.0) in effects
        assert quarantine.is_quarantined("f", 6.0)
        assert quarantine.describe(6.0)[0].targets == ("t1", "t2")

    def test_requests_past_their_early_phase_are_innocent(self, quarantine):
        for number in (1, 2):
            crash(quarantine, "guilty", f"t{number}", 10.0 * number)
            crash(quarantine, "innocent", f"t{number}", 10.0 * number, is_early=False)
            quarantine.tick(10.0 * number + 1)
        assert quarantine.is_quarantined("guilty", 21.0)
        assert not quarantine.is_suspect("innocent")

    def test_late_request_is_blamed_where_no_early_one_ran(self, quarantine):
        crash(quarantine, "f", "t1", 0.0, is_early=False)
        assert quarantine.tick(1.5) == (CrashReported("f", "t1"),)

    def test_whole_answer_clears_a_suspect(self, quarantine):
        crash(quarantine, "f", "t1", 0.0)
        quarantine.clear("f")
        crash(quarantine, "f", "t2", 1.0)
        assert not quarantine.is_quarantined("f", 1.0)

    def test_crashes_seen_by_peers_count(self, quarantine):
        crash(quarantine, "f", "t1", 0.0)
        quarantine.learn_crash("f", "t2", 1.0)
        assert quarantine.is_quarantined("f", 1.0)

    def test_release_outlasts_gossip_under_way(self, quarantine):
        quarantine.learn_entry("f", 100.0, 50.0)
        assert quarantine.release("f", 51.0) == (FingerprintReleased("f"),)
        quarantine.learn_entry("f", 99.0, 51.1)
        assert not quarantine.is_quarantined("f", 51.2)

    def test_release_by_a_peer_outlasts_gossip_under_way(self, quarantine):
        quarantine.learn_crash("f", "t1", 50.0)
        quarantine.learn_crash("f", "t2", 50.0)
        quarantine.learn_release("f", 51.0)
        quarantine.learn_crash("f", "t1", 51.1)
        assert not quarantine.is_quarantined("f", 51.2)
        assert not quarantine.is_suspect("f")

    def test_entry_expires(self, quarantine):
        quarantine.learn_entry("f", 100.0, 0.0)
        quarantine.tick(100.0)
        assert quarantine.describe(100.0) == ()

    def test_keeps_a_bounded_number_of_entries(self, quarantine):
        for number in range(10):
            quarantine.learn_entry(f"f{number}", 100.0, float(number))
        assert len(quarantine.describe(10.0)) == 4
