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
    NoticeRaised,
    NoticeReceived,
    PeerRevisionSeen,
    RevisionApplied,
    RevisionConfirmed,
    SendToAddress,
    Ticked,
    ViewChanged,
)
from kingcuphead.storage import Instance, InstanceState

#: Simulated seconds between two ticks.
STEP = 0.1
SETTINGS = MembershipSettings()


def make_member(number, incarnation=1):
    name = f"d{number}"
    return Member(name, name, "zone", "region", incarnation, 0, MemberStatus.ALIVE)


class SimulatedFleet:
    """Membership state machines connected by a simulated network.

    Links between daemons can be blocked, and daemons can be stopped.
    """

    def __init__(self, size, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.blocked = set()
        self.stopped = set()
        self.notices = {}
        self.revisions = {}
        self.views = {}
        self.daemons: dict[str, Membership] = {}
        for number in range(size):
            self.start(make_member(number))
        self.publish_instances(InstanceState.LIVE, *self.daemons)

    def start(self, member):
        rng = random.Random(self.rng.random())
        self.daemons[member.name] = Membership(member, SETTINGS, rng)
        self.stopped.discard(member.name)

    def publish_instances(self, state, *names):
        instances = tuple(Instance(n, "entry", "zone", n, state) for n in names)
        for name in self.daemons:
            self.deliver(name, InstancesListed(instances))

    def deliver(self, name, message):
        if name in self.stopped:
            return
        for effect in self.daemons[name].receive(message, self.now):
            match effect:
                case SendToAddress(address, sent):
                    if frozenset((name, address)) not in self.blocked:
                        self.deliver(address, sent)
                case NoticeReceived(notice):
                    self.notices.setdefault(name, []).append(notice)
                case PeerRevisionSeen(revision=revision):
                    self.revisions[name] = max(self.revisions.get(name, 0), revision)
                case ViewChanged(members):
                    self.views[name] = {member.name for member in members}

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for name in self.daemons:
                self.deliver(name, Ticked())

    def partition(self, side):
        remaining = set(self.daemons) - set(side)
        self.blocked = {frozenset((a, b)) for a in side for b in remaining}


class TestMembership:
    def test_every_view_contains_all_daemons(self):
        fleet = SimulatedFleet(7)
        fleet.run(2)
        assert all(view == set(fleet.daemons) for view in fleet.views.values())

    def test_killed_daemon_is_removed_from_every_view(self):
        fleet = SimulatedFleet(7)
        fleet.run(2)
        fleet.stopped.add("d3")
        fleet.run(12)
        remaining = set(fleet.daemons) - {"d3"}
        assert all(fleet.views[name] == remaining for name in remaining)

    def test_pending_probe_of_an_unlisted_daemon_is_dropped(self):
        """A daemon that never acknowledges dies, and the platform unlists it."""
        membership = Membership(make_member(0), SETTINGS, random.Random(1))
        instances = (Instance("d1", "entry", "zone", "d1", InstanceState.LIVE),)
        membership.receive(InstancesListed(instances), 0.0)
        for step in range(1, 200):
            now = step * STEP
            if step >= 60:
                membership.receive(InstancesListed(()), now)
            membership.receive(Ticked(), now)
        assert membership.members == ()

    def test_paused_daemon_rejoins_with_the_same_incarnation(self):
        fleet = SimulatedFleet(5)
        fleet.run(2)
        fleet.stopped.add("d1")
        fleet.run(12)
        fleet.stopped.discard("d1")
        fleet.run(12)
        assert all(view == set(fleet.daemons) for view in fleet.views.values())

    @pytest.mark.parametrize("seconds", [2, 30, 300])
    def test_partition_heals(self, seconds):
        fleet = SimulatedFleet(6)
        fleet.run(2)
        fleet.partition({"d0", "d1"})
        fleet.run(seconds)
        fleet.blocked = set()
        fleet.run(15)
        assert all(view == set(fleet.daemons) for view in fleet.views.values())

    def test_restart_replaces_the_old_incarnation(self):
        fleet = SimulatedFleet(4)
        fleet.run(2)
        fleet.stopped.add("d1")
        fleet.run(12)
        fleet.start(make_member(1, incarnation=2))
        fleet.publish_instances(InstanceState.LIVE, *fleet.daemons)
        fleet.run(12)
        incarnations = {
            member.incarnation
            for name in ("d0", "d2", "d3")
            for member in fleet.daemons[name].members
            if member.name == "d1"
        }
        assert incarnations == {2}

    def test_leaving_daemon_is_removed_from_every_view_at_once(self):
        fleet = SimulatedFleet(7)
        fleet.run(2)
        fleet.deliver("d2", LeaveStarted())
        remaining = set(fleet.daemons) - {"d2"}
        assert all(fleet.views[name] == remaining for name in remaining)

    def test_terminated_instance_is_not_probed(self):
        fleet = SimulatedFleet(3)
        fleet.run(2)
        fleet.publish_instances(InstanceState.TERMINATED, "d1")
        sent = []
        for _ in range(100):
            fleet.now += STEP
            effects = fleet.daemons["d0"].receive(Ticked(), fleet.now)
            sent += [e.address for e in effects if isinstance(e, SendToAddress)]
        assert sent
        assert "d1" not in sent

    def test_notice_reaches_all_within_three_seconds(self):
        fleet = SimulatedFleet(30)
        fleet.run(2)
        fleet.deliver("d5", NoticeRaised(NoticeKind.TARGET_LEAVING, "runner-1"))
        fleet.run(3)
        assert set(fleet.notices) == set(fleet.daemons) - {"d5"}
        assert all(len(received) == 1 for received in fleet.notices.values())

    def test_revision_reaches_all_daemons(self):
        fleet = SimulatedFleet(7)
        fleet.run(2)
        fleet.deliver("d0", RevisionApplied(12))
        fleet.run(5)
        assert all(
            fleet.revisions[name] == 12 for name in fleet.daemons if name != "d0"
        )

    def test_messages_do_not_grow_with_the_fleet(self):
        fleet = SimulatedFleet(100)
        for name in fleet.daemons:
            fleet.deliver(name, NoticeRaised(NoticeKind.TARGET_SILENT, name))
        fleet.now += 1
        heartbeats = [
            effect.message
            for membership in fleet.daemons.values()
            for effect in membership.receive(Ticked(), fleet.now)
            if isinstance(effect, SendToAddress)
        ]
        assert heartbeats
        assert all(len(heartbeat.members) <= 8 for heartbeat in heartbeats)
        assert all(len(heartbeat.notices) <= 8 for heartbeat in heartbeats)

    def test_daemon_refutes_a_suspicion_of_itself(self):
        membership = Membership(make_member(0), SETTINGS, random.Random(1))
        suspicion = make_member(0).with_changes(status=MemberStatus.SUSPECT)
        heartbeat = Heartbeat(1, make_member(1), 0, (suspicion,), ())
        effects = membership.receive(heartbeat, 0.0)
        acknowledgements = [e.message for e in effects if isinstance(e, SendToAddress)]
        assert isinstance(acknowledgements[0], HeartbeatAcknowledged)
        assert acknowledgements[0].sender.counter == 1
        assert acknowledgements[0].sender.status is MemberStatus.ALIVE

    @pytest.mark.parametrize(("delay", "confirmed_at"), [(0.1, 9.0), (0.4, 9.0)])
    def test_delay_never_makes_a_confirmation_newer(self, delay, confirmed_at):
        membership = Membership(make_member(0), SETTINGS, random.Random(1))
        instances = (Instance("d1", "entry", "zone", "d1", InstanceState.LIVE),)
        membership.receive(InstancesListed(instances), 10.0)
        effects = membership.receive(Ticked(), 10.0)
        numbers = [e.message.number for e in effects if isinstance(e, SendToAddress)]
        acknowledgement = HeartbeatAcknowledged(
            numbers[0], make_member(1), 5, (), (), confirmed_age=1.0
        )
        effects = membership.receive(acknowledgement, 10.0 + delay)
        seen = [e for e in effects if isinstance(e, PeerRevisionSeen)]
        assert seen == [PeerRevisionSeen("d1", 5, confirmed_at)]

    def test_heartbeat_does_not_confirm_a_revision(self):
        membership = Membership(make_member(0), SETTINGS, random.Random(1))
        effects = membership.receive(Heartbeat(1, make_member(1), 5, (), ()), 10.0)
        assert PeerRevisionSeen("d1", 5, None) in effects

    def test_acknowledgement_carries_the_age_of_the_confirmation(self):
        membership = Membership(make_member(0), SETTINGS, random.Random(1))
        membership.receive(RevisionConfirmed(7.0), 8.0)
        effects = membership.receive(Heartbeat(1, make_member(1), 5, (), ()), 10.0)
        acknowledgements = [e.message for e in effects if isinstance(e, SendToAddress)]
        ages = [
            a.confirmed_age
            for a in acknowledgements
            if isinstance(a, HeartbeatAcknowledged)
        ]
        assert ages == [3.0]
