import random

import pytest

from kingcuphead.membership import (
    Heartbeat,
    HeartbeatAcknowledged,
    InstancesListed,
    LeaveStarted,
    Member,
    Membership,
    MembershipSettings,
    MemberStatus,
    NoticeKind,
    NoticeLearnt,
    NoticeRaised,
    PeerRevisionSeen,
    RevisionApplied,
    RevisionConfirmed,
    SendToAddress,
    Ticked,
    ViewChanged,
)
from kingcuphead.storage import Instance, InstanceState

STEP = 0.1
SETTINGS = MembershipSettings()


def make_member(number, incarnation=1):
    name = f"d{number}"
    return Member(name, name, "zone", "region", incarnation, 0, MemberStatus.ALIVE)


class Fleet:
    """Several machines joined by a network that can be cut."""

    def __init__(self, size, seed=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.cut = set()
        self.stopped = set()
        self.notices = {}
        self.revisions = {}
        self.views = {}
        self.machines: dict[str, Membership] = {}
        for number in range(size):
            self.start(make_member(number))
        self.list_instances(InstanceState.LIVE, *self.machines)

    def start(self, member):
        generator = random.Random(self.random.random())
        self.machines[member.name] = Membership(member, SETTINGS, generator)
        self.stopped.discard(member.name)

    def list_instances(self, state, *names):
        instances = tuple(Instance(n, "entry", "zone", n, state) for n in names)
        for name in self.machines:
            self.give(name, InstancesListed(instances))

    def give(self, name, message):
        if name in self.stopped:
            return
        for effect in self.machines[name].receive(message, self.now):
            match effect:
                case SendToAddress(address, sent):
                    if frozenset((name, address)) not in self.cut:
                        self.give(address, sent)
                case NoticeLearnt(notice):
                    self.notices.setdefault(name, []).append(notice)
                case PeerRevisionSeen(revision=revision):
                    self.revisions[name] = max(self.revisions.get(name, 0), revision)
                case ViewChanged(members):
                    self.views[name] = {member.name for member in members}

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for name in self.machines:
                self.give(name, Ticked())

    def split(self, side):
        others = set(self.machines) - set(side)
        self.cut = {frozenset((a, b)) for a in side for b in others}


class TestMembership:
    def test_all_see_each_other(self):
        fleet = Fleet(7)
        fleet.run(2)
        assert all(view == set(fleet.machines) for view in fleet.views.values())

    def test_killed_daemon_leaves_every_view(self):
        fleet = Fleet(7)
        fleet.run(2)
        fleet.stopped.add("d3")
        fleet.run(12)
        living = set(fleet.machines) - {"d3"}
        assert all(fleet.views[name] == living for name in living)

    def test_paused_daemon_returns_with_the_same_incarnation(self):
        fleet = Fleet(5)
        fleet.run(2)
        fleet.stopped.add("d1")
        fleet.run(12)
        fleet.stopped.discard("d1")
        fleet.run(12)
        assert all(view == set(fleet.machines) for view in fleet.views.values())

    @pytest.mark.parametrize("seconds", [2, 30, 300])
    def test_partition_heals(self, seconds):
        fleet = Fleet(6)
        fleet.run(2)
        fleet.split({"d0", "d1"})
        fleet.run(seconds)
        fleet.cut = set()
        fleet.run(15)
        assert all(view == set(fleet.machines) for view in fleet.views.values())

    def test_restart_replaces_the_old_incarnation(self):
        fleet = Fleet(4)
        fleet.run(2)
        fleet.stopped.add("d1")
        fleet.run(12)
        fleet.start(make_member(1, incarnation=2))
        fleet.list_instances(InstanceState.LIVE, *fleet.machines)
        fleet.run(12)
        incarnations = {
            member.incarnation
            for name in ("d0", "d2", "d3")
            for member in fleet.machines[name].members
            if member.name == "d1"
        }
        assert incarnations == {2}

    def test_leaving_daemon_leaves_every_view_at_once(self):
        fleet = Fleet(7)
        fleet.run(2)
        fleet.give("d2", LeaveStarted())
        others = set(fleet.machines) - {"d2"}
        assert all(fleet.views[name] == others for name in others)

    def test_terminated_instance_is_not_probed(self):
        fleet = Fleet(3)
        fleet.run(2)
        fleet.list_instances(InstanceState.TERMINATED, "d1")
        sent = []
        for _ in range(100):
            fleet.now += STEP
            effects = fleet.machines["d0"].receive(Ticked(), fleet.now)
            sent += [e.address for e in effects if isinstance(e, SendToAddress)]
        assert sent
        assert "d1" not in sent

    def test_notice_reaches_all_within_three_seconds(self):
        fleet = Fleet(30)
        fleet.run(2)
        fleet.give("d5", NoticeRaised(NoticeKind.TARGET_LEAVING, "runner-1"))
        fleet.run(3)
        assert set(fleet.notices) == set(fleet.machines) - {"d5"}
        assert all(len(learnt) == 1 for learnt in fleet.notices.values())

    def test_revision_is_seen_by_all(self):
        fleet = Fleet(7)
        fleet.run(2)
        fleet.give("d0", RevisionApplied(12))
        fleet.run(5)
        assert all(
            fleet.revisions[name] == 12 for name in fleet.machines if name != "d0"
        )

    def test_messages_do_not_grow_with_the_fleet(self):
        fleet = Fleet(100)
        for name in fleet.machines:
            fleet.give(name, NoticeRaised(NoticeKind.TARGET_SILENT, name))
        fleet.now += 1
        heartbeats = [
            effect.message
            for machine in fleet.machines.values()
            for effect in machine.receive(Ticked(), fleet.now)
            if isinstance(effect, SendToAddress)
        ]
        assert heartbeats
        assert all(len(beat.members) <= 8 for beat in heartbeats)
        assert all(len(beat.notices) <= 8 for beat in heartbeats)

    def test_own_suspicion_is_refuted(self):
        machine = Membership(make_member(0), SETTINGS, random.Random(1))
        rumour = make_member(0).with_changes(status=MemberStatus.SUSPECT)
        beat = Heartbeat(1, make_member(1), 0, (rumour,), ())
        effects = machine.receive(beat, 0.0)
        answers = [e.message for e in effects if isinstance(e, SendToAddress)]
        assert isinstance(answers[0], HeartbeatAcknowledged)
        assert answers[0].sender.counter == 1
        assert answers[0].sender.status is MemberStatus.ALIVE

    @pytest.mark.parametrize(("delay", "confirmed_at"), [(0.1, 9.0), (0.4, 9.0)])
    def test_delay_never_makes_a_confirmation_newer(self, delay, confirmed_at):
        machine = Membership(make_member(0), SETTINGS, random.Random(1))
        instances = (Instance("d1", "entry", "zone", "d1", InstanceState.LIVE),)
        machine.receive(InstancesListed(instances), 10.0)
        effects = machine.receive(Ticked(), 10.0)
        numbers = [e.message.number for e in effects if isinstance(e, SendToAddress)]
        answer = HeartbeatAcknowledged(
            numbers[0], make_member(1), 5, (), (), confirmed_age=1.0
        )
        effects = machine.receive(answer, 10.0 + delay)
        seen = [e for e in effects if isinstance(e, PeerRevisionSeen)]
        assert seen == [PeerRevisionSeen("d1", 5, confirmed_at)]

    def test_heartbeat_alone_confirms_nothing(self):
        machine = Membership(make_member(0), SETTINGS, random.Random(1))
        effects = machine.receive(Heartbeat(1, make_member(1), 5, (), ()), 10.0)
        assert PeerRevisionSeen("d1", 5, None) in effects

    def test_answer_carries_the_age_of_the_confirmation(self):
        machine = Membership(make_member(0), SETTINGS, random.Random(1))
        machine.receive(RevisionConfirmed(7.0), 8.0)
        effects = machine.receive(Heartbeat(1, make_member(1), 5, (), ()), 10.0)
        answers = [e.message for e in effects if isinstance(e, SendToAddress)]
        ages = [
            a.confirmed_age for a in answers if isinstance(a, HeartbeatAcknowledged)
        ]
        assert ages == [3.0]
