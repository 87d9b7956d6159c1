import pytest

from kingcuphead.quarantine import (
    Crash,
    CrashReported,
    FingerprintQuarantined,
    FingerprintReleased,
    PartsAccused,
    Quarantine,
    QuarantineSettings,
    RequestIdentity,
)


@pytest.fixture
def quarantine():
    return Quarantine(QuarantineSettings(capacity=4))


def record_crash(quarantine, fingerprint, target, now, is_early=True):
    crash = Crash(target, RequestIdentity(fingerprint), is_early)
    return quarantine.record_crash(crash, now)


def report_crash(fingerprint, target):
    return CrashReported(target, RequestIdentity(fingerprint))


class TestQuarantine:
    def test_second_crashed_target_starts_the_quarantine(self, quarantine):
        assert record_crash(quarantine, "f", "t1", 0.0) == (report_crash("f", "t1"),)
        assert record_crash(quarantine, "f", "t1", 5.0) == (report_crash("f", "t1"),)
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
        assert quarantine.tick(1.5) == (report_crash("f", "t1"),)

    def test_complete_answer_clears_the_suspicion(self, quarantine):
        record_crash(quarantine, "f", "t1", 0.0)
        quarantine.clear_suspicion("f")
        record_crash(quarantine, "f", "t2", 1.0)
        assert not quarantine.is_quarantined("f", 1.0)

    def test_crashes_reported_by_peers_count(self, quarantine):
        record_crash(quarantine, "f", "t1", 0.0)
        quarantine.apply_peer_crash("t2", RequestIdentity("f"), 1.0)
        assert quarantine.is_quarantined("f", 1.0)

    def test_release_overrides_delayed_gossip(self, quarantine):
        quarantine.apply_peer_quarantine("f", 100.0, 50.0)
        assert quarantine.release("f", 51.0) == (FingerprintReleased("f"),)
        quarantine.apply_peer_quarantine("f", 99.0, 51.1)
        assert not quarantine.is_quarantined("f", 51.2)

    def test_release_by_a_peer_overrides_delayed_gossip(self, quarantine):
        quarantine.apply_peer_crash("t1", RequestIdentity("f"), 50.0)
        quarantine.apply_peer_crash("t2", RequestIdentity("f"), 50.0)
        quarantine.apply_peer_release("f", 51.0)
        quarantine.apply_peer_crash("t1", RequestIdentity("f"), 51.1)
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


class TestParts:
    """Parts of prompts under which targets crash."""

    PARTS = ("part:a", "part:bad")

    def crash(self, quarantine, number, parts=PARTS):
        """Lose a request of its own with a target of its own."""
        request = RequestIdentity(f"f{number}", parts)
        return quarantine.record_crash(Crash(f"t{number}", request, True), number)

    def lose(self, quarantine, count, parts=PARTS):
        for number in range(count):
            self.crash(quarantine, number, parts)
        return quarantine.judge_parts(float(count))

    def is_refused(self, quarantine, *parts):
        return quarantine.get_remaining(RequestIdentity("new", parts), 10.0) > 0

    @pytest.fixture
    def quarantine(self):
        return Quarantine(QuarantineSettings(min_crashed_targets=3))

    def test_the_fourth_crash_accuses_them(self, quarantine):
        for number in range(3):
            assert PartsAccused() not in self.crash(quarantine, number)
        assert PartsAccused() in self.crash(quarantine, 3)
        assert not self.is_refused(quarantine, *self.PARTS)

    def test_only_requests_with_all_of_them_are_refused(self, quarantine):
        key = "part:a+part:bad"
        assert FingerprintQuarantined(key, 3600.0) in self.lose(quarantine, 4)
        assert self.is_refused(quarantine, "part:a", "part:c", "part:bad")
        assert not self.is_refused(quarantine, "part:a", "part:c")
        assert not self.is_refused(quarantine)

    def test_an_answer_clears_the_parts_that_it_contains(self, quarantine):
        self.lose(quarantine, 4)
        quarantine.record_answer(RequestIdentity("g", ("part:a", "part:c")), 5.0)
        assert self.is_refused(quarantine, "part:d", "part:bad")
        assert not self.is_refused(quarantine, "part:a", "part:c")

    def test_an_answer_of_a_peer_does_too(self, quarantine):
        self.lose(quarantine, 4)
        quarantine.apply_peer_answers("part:a", "d2", 1, 5.0)
        assert self.is_refused(quarantine, "part:bad")

    def test_an_answered_part_is_never_suspected(self, quarantine):
        quarantine.record_answer(RequestIdentity("g", ("part:a",)), 0.0)
        self.lose(quarantine, 9, ("part:a",))
        assert not self.is_refused(quarantine, "part:a")
        quarantine.apply_peer_quarantine("part:a+part:bad", 60.0, 9.0)
        assert not self.is_refused(quarantine, "part:a")
        assert self.is_refused(quarantine, "part:bad")

    def test_requests_lost_beside_it_are_no_longer_suspected(self, quarantine):
        for number in range(4):
            self.crash(quarantine, number)
            beside = RequestIdentity("beside", ("part:a", f"part:b{number}"))
            quarantine.apply_peer_crash(f"t{number}", beside, float(number))
        assert quarantine.is_quarantined("beside", 4.0)
        quarantine = Quarantine(QuarantineSettings(min_crashed_targets=5))
        for number in range(4):
            self.crash(quarantine, number)
            quarantine.apply_peer_crash(f"t{number}", beside, float(number))
        quarantine.judge_parts(4.0)
        assert not quarantine.is_suspect("beside")
        quarantine.apply_peer_crash("t3", beside, 4.0)
        assert not quarantine.is_suspect("beside")

    def test_a_crash_after_the_end_renews_the_quarantine(self):
        settings = QuarantineSettings(crash_retention=7200.0)
        quarantine = Quarantine(settings)
        self.lose(quarantine, 4)
        ended = 4.0 + settings.expiry + 1.0
        quarantine.tick(ended)
        request = RequestIdentity("f9", self.PARTS)
        assert not quarantine.get_remaining(request, ended)
        quarantine.record_crash(Crash("t9", request, True), ended)
        assert quarantine.get_remaining(request, ended) > 0

    def test_requests_past_their_beginning_are_not_suspected(self, quarantine):
        late = RequestIdentity("late", ("part:late",))
        for number in range(5):
            crash = Crash(f"t{number}", late, is_early=False)
            quarantine.record_crash(crash, float(number))
            early = RequestIdentity(f"g{number}", ("part:bad",))
            quarantine.apply_peer_crash(f"t{number}", early, float(number))
            quarantine.tick(number + 1.0)
        assert not quarantine.is_suspect("late")
