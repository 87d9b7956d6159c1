import itertools

import pytest

from kingcuphead.capacity._decisions import (
    CloseRequested,
    DeflectionBegan,
    EndReason,
    Observation,
    SheddingBegan,
    UnreadyEnded,
)
from kingcuphead.capacity._messages import CapacityReported, Readiness
from kingcuphead.capacity._schedule import Receivers, ReportSchedule
from kingcuphead.capacity._shedder import COOLDOWN, LoadShedder
from kingcuphead.capacity._unready_budget import UnreadyBudget
from kingcuphead.capacity._zone_loads import (
    COUNT_LIFETIME,
    MIN_OTHERS,
    ZoneLoads,
)

#: Seconds of one step.
STEP = 0.1
#: Time at which the daemon has saved enough unready time.
START = 60.0


class Player:
    """Plays a daemon among others whose loads are fixed."""

    def __init__(self, others=11, other_load=0.2, zone="z"):
        self.now = START
        self.zone = ZoneLoads("z")
        self.shedder = LoadShedder("me", self.zone, 0.0)
        self.shedder.unready_budget.advance(START, False)
        self.others = {f"o{n}": (other_load, Readiness.READY) for n in range(others)}
        self.other_zone = zone
        self.effects = []
        self.open_connections = 2
        self.is_serving = True
        self._number = 0

    def play(self, seconds, load):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self._number += 1
            for sender, (other_load, readiness) in self.others.items():
                report = CapacityReported(
                    sender, self._number, self.other_zone, other_load, readiness
                )
                self.zone.apply_report(report, self.now)
            self.zone.expire(self.now)
            observation = Observation(
                self.now, load, self.is_serving, self.open_connections
            )
            self.effects.extend(self.shedder.step(observation))

    def fail_checks(self, load=0.9):
        """Let two checks fail, and the platform learn of it."""
        self.shedder.record_check(False, self.now)
        self.play(1.0, load)
        self.shedder.record_check(False, self.now)
        self.play(0.3, load)

    @property
    def last(self):
        return self.effects[-1] if self.effects else None


class TestBegin:
    @pytest.mark.parametrize(
        ("load", "options", "expected"),
        [
            (0.9, {}, True),
            (0.71, {}, True),
            (0.69, {}, False),
            (0.9, {"other_load": 0.58}, True),
            (0.9, {"other_load": 0.62}, False),
            (0.9, {"others": MIN_OTHERS}, True),
            (0.9, {"others": MIN_OTHERS - 1}, False),
            (0.9, {"others": 0}, False),
            (0.9, {"zone": "other"}, False),
        ],
    )
    def test_a_daemon_sheds_above_its_limit_and_its_zone(self, load, options, expected):
        player = Player(**options)
        player.play(1.5, load)
        assert isinstance(player.last, SheddingBegan) is expected
        assert player.shedder.fails_checks(player.now) is expected

    def test_a_short_peak_has_no_effect(self):
        player = Player()
        for _ in range(10):
            player.play(0.9, 0.95)
            player.play(0.2, 0.5)
        assert not player.effects

    def test_the_others_hear_of_it_before(self):
        player = Player()
        player.play(0.7, 0.9)
        assert player.shedder.readiness is Readiness.CANDIDATE
        assert player.shedder.get_reported_load(0.3) == 0.9
        assert not player.shedder.fails_checks(player.now)

    @pytest.mark.parametrize(
        ("readiness", "load", "expected"),
        [
            (Readiness.CANDIDATE, 0.95, False),
            (Readiness.CANDIDATE, 0.8, True),
            (Readiness.UNREADY, 0.0, False),
            (Readiness.SHEDDING, 0.8, False),
        ],
    )
    def test_daemons_with_more_load_go_first(self, readiness, load, expected):
        """Guards against more unready daemons than one in six: here two of twelve."""
        player = Player()
        player.others["o0"] = player.others["o1"] = (load, readiness)
        player.play(1.5, 0.9)
        assert any(isinstance(e, SheddingBegan) for e in player.effects) is expected

    def test_a_daemon_that_has_just_started_does_not_shed(self):
        player = Player()
        player.shedder = LoadShedder("me", player.zone, player.now)
        player.play(9.0, 1.0)
        assert not player.effects


class TestClosing:
    def test_connections_close_after_two_failed_checks(self):
        player = Player()
        player.play(1.5, 0.9)
        player.shedder.record_check(False, player.now)
        player.play(0.1, 0.9)
        # A second balancer that checks at the same time.
        player.shedder.record_check(False, player.now)
        player.play(0.8, 0.9)
        assert len(player.effects) == 1
        player.shedder.record_check(False, player.now)
        player.play(0.3, 0.9)
        assert isinstance(player.last, CloseRequested)
        assert player.last.share == pytest.approx(4 / 9)

    @pytest.mark.parametrize(
        ("readiness", "expected"),
        [(Readiness.UNREADY, False), (Readiness.READY, True)],
    )
    def test_connections_close_after_the_checks_of_others_failed(
        self, readiness, expected
    ):
        """Guards against callers that move to a daemon that deflects.

        It begins to fail checks 0.5 s later, and its second check may be 1.5 s after
        the second one of this daemon.
        """
        player = Player()
        player.play(1.1, 0.9)
        player.others["o0"] = (0.6, readiness)
        # This daemon's checks fail as early as they can: at once, and 1 s later.
        player.shedder.record_check(False, player.now)
        player.play(1.0, 0.9)
        player.shedder.record_check(False, player.now)
        player.play(1.3, 0.9)
        assert isinstance(player.last, CloseRequested) is expected
        player.play(0.3, 0.9)
        assert isinstance(player.last, CloseRequested)

    def test_no_connection_closes_without_checks(self):
        """Guards against callers that come back, as the balancer knows of nothing."""
        player = Player()
        player.play(6.0, 0.9)
        began, ended = player.effects
        assert isinstance(began, SheddingBegan)
        assert ended.reason is EndReason.EXPIRED

    @pytest.mark.parametrize(
        ("changes", "load", "reason"),
        [
            ({"open_connections": 0}, 0.9, EndReason.CLOSED),
            # Less load doesn't end it once connections close.
            ({}, 0.5, EndReason.EXPIRED),
            ({}, 0.9, EndReason.EXPIRED),
            ({"is_serving": False}, 0.9, EndReason.NOT_SERVING),
        ],
    )
    def test_shedding_ends(self, changes, load, reason):
        player = Player()
        player.play(1.1, 0.9)
        player.fail_checks()
        for name, value in changes.items():
            setattr(player, name, value)
        player.play(3.0, load)
        assert player.last.reason is reason
        assert not player.shedder.fails_checks(player.now)

    def test_less_load_ends_it_before_connections_close(self):
        player = Player()
        player.play(1.1, 0.9)
        player.play(0.3, 0.5)
        assert player.last.reason is EndReason.RELIEVED
        assert not player.shedder.fails_checks(player.now)

    def test_a_daemon_does_not_shed_again_soon(self):
        player = Player()
        player.play(1.1, 0.9)
        player.fail_checks()
        player.open_connections = 0
        player.play(0.1, 0.9)
        player.shedder.record_check(True, player.now)
        player.effects.clear()
        player.play(COOLDOWN, 0.9)
        assert not player.effects
        # The limit is higher for a while.
        player.play(10.0, 0.84)
        assert not player.effects
        player.play(2.0, 0.9)
        assert isinstance(player.last, SheddingBegan)


class TestWithdrawal:
    @pytest.mark.parametrize(("load", "is_withdrawn"), [(0.95, True), (0.85, False)])
    def test_the_daemons_with_most_load_go_on(self, load, is_withdrawn):
        """Guards against too many unready daemons where announcements came late."""
        player = Player()
        player.play(1.1, 0.9)
        player.others["o0"] = player.others["o1"] = (load, Readiness.SHEDDING)
        player.play(0.2, 0.9)
        withdrawn = getattr(player.last, "reason", None) is EndReason.OUTRANKED
        assert withdrawn is is_withdrawn

    def test_a_daemon_that_closes_connections_goes_on(self):
        player = Player()
        player.play(1.1, 0.9)
        player.fail_checks()
        player.others["o0"] = player.others["o1"] = (0.95, Readiness.SHEDDING)
        player.play(0.2, 0.9)
        assert isinstance(player.last, CloseRequested)


class TestDeflection:
    @pytest.mark.parametrize(
        ("load", "readiness", "expected"),
        [
            (0.6, Readiness.SHEDDING, True),
            (0.4, Readiness.SHEDDING, False),
            (0.6, Readiness.UNREADY, False),
            (0.6, Readiness.CANDIDATE, False),
        ],
    )
    def test_loaded_daemons_are_unready_while_another_sheds(
        self, load, readiness, expected
    ):
        player = Player()
        player.others["o0"] = (0.9, readiness)
        player.play(0.5, load)
        assert isinstance(player.last, DeflectionBegan) is expected
        assert player.shedder.fails_checks(player.now) is expected

    def test_it_closes_nothing_and_ends_with_the_others(self):
        player = Player()
        player.others["o0"] = (0.9, Readiness.SHEDDING)
        player.play(0.5, 0.6)
        player.fail_checks(0.6)
        player.others["o0"] = (0.5, Readiness.READY)
        player.play(0.1, 0.6)
        assert [type(each) for each in player.effects] == [
            DeflectionBegan,
            UnreadyEnded,
        ]
        assert player.last.reason is EndReason.OTHERS_ENDED


class TestUnreadyTime:
    @pytest.mark.parametrize("period", [1.0, 2.5, 4.0])
    def test_a_daemon_that_is_unready_whenever_it_may_stays_within_the_bound(
        self, period
    ):
        unready_budget = UnreadyBudget(0.0)
        now, since = 0.0, None
        for _ in range(6_000):
            now += STEP
            unready_budget.advance(now, since is not None)
            if since is None and unready_budget.is_sufficient:
                since = now
            elif since is not None and (
                now - since >= period or unready_budget.is_used_up
            ):
                since = None
        assert 0.08 * now < unready_budget.total <= 0.105 * now


class TestReportSchedule:
    def test_changes_reach_all_daemons_at_once(self):
        schedule = ReportSchedule()
        readiness = [
            (0.0, Readiness.READY, Receivers.SOME),
            (0.9, Readiness.READY, None),
            (1.0, Readiness.READY, Receivers.SOME),
            (1.1, Readiness.CANDIDATE, Receivers.ALL),
            (1.2, Readiness.READY, None),
            (1.3, Readiness.SHEDDING, Receivers.ALL),
            (2.1, Readiness.SHEDDING, Receivers.SOME),
            (2.9, Readiness.SHEDDING, Receivers.ALL),
            (3.0, Readiness.READY, Receivers.ALL),
        ]
        for now, state, receivers in readiness:
            assert schedule.choose_receivers(state, now) is receivers


class TestZoneLoads:
    def test_late_reports_and_other_zones_are_ignored(self):
        zone = ZoneLoads("z")
        zone.apply_report(CapacityReported("a", 2, "z", 0.5, Readiness.UNREADY), 0.0)
        zone.apply_report(CapacityReported("a", 1, "z", 0.5, Readiness.READY), 0.1)
        zone.apply_report(CapacityReported("b", 1, "y", 0.5, Readiness.UNREADY), 0.1)
        assert zone.list_unready() == {"a"}

    def test_daemons_count_while_their_reports_go_to_others(self):
        """Guards against too few unready daemons, as each report reaches a sample."""
        zone = ZoneLoads("z")
        for number in range(23):
            sender = f"d{number}@10.0.0.{number}/1"
            zone.apply_report(
                CapacityReported(sender, 1, "z", 0.5, Readiness.READY), number / 2
            )
        zone.expire(19.0)
        assert zone.count_allowed() == 4

    def test_instances_that_restarted_or_left_do_not_count(self):
        """Guards against more unready daemons than one in six."""
        zone = ZoneLoads("z")
        for number, incarnation in itertools.product(range(11), "ab"):
            sender = f"d{number}@10.0.0.{number}/{incarnation}"
            zone.apply_report(CapacityReported(sender, 1, "z", 0.5, Readiness.READY), 0)
        assert zone.count_allowed() == 2
        zone.expire(COUNT_LIFETIME + 0.1)
        assert zone.count_allowed() == 0

    def test_a_daemon_that_is_silent_is_forgotten(self):
        """Guards against a daemon that crashed while unready and blocks the others."""
        zone = ZoneLoads("z")
        zone.apply_report(CapacityReported("a", 2, "z", 0.5, Readiness.SHEDDING), 0.0)
        zone.expire(5.9)
        assert zone.is_any_shedding()
        zone.expire(6.1)
        assert not zone.is_any_shedding()
