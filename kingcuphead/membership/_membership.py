"""Failure detection and dissemination among the daemons.

Each daemon probes one random peer per interval and piggybacks recent facts, as in
SWIM, so that the cost for a daemon does not grow with the number of daemons. The
view steers where a message is sent first; it never creates spending authority.
"""

import dataclasses
import random
from collections.abc import Iterator

from kingcuphead.membership._dissemination import Dissemination
from kingcuphead.membership._messages import (
    Effect,
    Heartbeat,
    HeartbeatAcknowledged,
    Input,
    InstancesListed,
    LeaveStarted,
    Member,
    MemberStatus,
    Notice,
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

#: Member facts carried by one message.
MEMBERS_PER_MESSAGE = 8
#: Notices carried by one message.
NOTICES_PER_MESSAGE = 8
#: Notices kept for dissemination and for recognising repeats.
NOTICE_CAPACITY = 256
#: Member facts kept for dissemination.
MEMBER_CAPACITY = 1024
#: Peers told directly when this daemon leaves.
LEAVE_FANOUT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Timing of the membership protocol."""

    #: Seconds between probes.
    probe_interval: float = 0.5
    #: Seconds without an acknowledgement until a peer is suspect.
    probe_timeout: float = 0.5
    #: Seconds from suspicion to death.
    suspect_timeout: float = 3.0


class Membership:
    """One daemon's view of its peers.

    Parameters
    ----------
    own
        This daemon, as it describes itself.
    settings
        Timing.
    generator
        Source of randomness for the choice of peers.
    """

    def __init__(
        self, own: Member, settings: MembershipSettings, generator: random.Random
    ) -> None:
        self._own = own
        self._settings = settings
        self._random = generator
        self._members: dict[str, Member] = {}
        self._suspected_at: dict[str, float] = {}
        self._probes: dict[int, tuple[str, float]] = {}
        self._order: list[str] = []
        self._next_probe_at = 0.0
        self._probe_number = 0
        self._notice_number = 0
        self._revision = 0
        self._confirmed_at: float | None = None
        self._terminated: set[str] = set()
        self._view = ViewChanged(())
        self._member_facts: Dissemination[Member] = Dissemination(MEMBER_CAPACITY)
        self._notice_facts: Dissemination[Notice] = Dissemination(NOTICE_CAPACITY)
        self._known_notices: dict[tuple[str, int], None] = {}

    @property
    def own(self) -> Member:
        """The daemon itself, as it describes itself now."""
        return self._own

    @property
    def members(self) -> tuple[Member, ...]:
        """Every peer that is known, whatever its status."""
        return tuple(self._members.values())

    def receive(self, message: Input, now: float) -> tuple[Effect, ...]:
        """Handle one message.

        Parameters
        ----------
        message
            What happened.
        now
            Monotonic time in seconds.

        Returns
        -------
        tuple of Effect
            What the daemon must do, in order.
        """
        effects = tuple(self._handle(message, now))
        return effects + tuple(self._compare_view())

    def _handle(self, message: Input, now: float) -> Iterator[Effect]:
        match message:
            case Heartbeat():
                yield from self._learn(message, None, now)
                answer = self._acknowledge(message.number, now)
                yield SendToAddress(message.sender.address, answer)
            case HeartbeatAcknowledged():
                confirmed_at = self._take_confirmation(message)
                yield from self._learn(message, confirmed_at, now)
            case InstancesListed(instances):
                self._merge_list(instances, now)
            case NoticeRaised():
                self._raise_notice(message)
            case RevisionApplied(revision):
                self._revision = revision
            case RevisionConfirmed(confirmed_at):
                self._confirmed_at = confirmed_at
            case LeaveStarted():
                yield from self._leave()
            case Ticked():
                self._expire(now)
                yield from self._probe(now)

    # What peers say.

    def _learn(
        self,
        message: Heartbeat | HeartbeatAcknowledged,
        confirmed_at: float | None,
        now: float,
    ) -> Iterator[Effect]:
        self._hear_from(message.sender, now)
        for member in message.members:
            self._believe(member, now)
        yield PeerRevisionSeen(message.sender.name, message.revision, confirmed_at)
        for notice in message.notices:
            if self._remember(notice):
                yield NoticeLearnt(notice)

    def _take_confirmation(self, message: HeartbeatAcknowledged) -> float | None:
        """Return the local time at which the sender's revision was the newest.

        It counts from the question, so that a delay on the way makes it older.
        """
        _, asked_at = self._probes.pop(message.number, ("", None))
        if asked_at is None or message.confirmed_age is None:
            return None
        return asked_at - message.confirmed_age

    def _hear_from(self, sender: Member, now: float) -> None:
        """Believe a peer's own word over a suspicion of the same incarnation.

        A peer that is believed dead here is told so, and refutes it.
        """
        known = self._members.get(sender.name)
        if known is not None and known.incarnation == sender.incarnation:
            match known.status:
                case MemberStatus.SUSPECT:
                    self._store(known.with_changes(status=MemberStatus.ALIVE), now)
                case MemberStatus.DEAD:
                    self._member_facts.add(known.name, known)
        self._believe(sender, now)

    def _believe(self, member: Member, now: float) -> None:
        if member.name == self._own.name:
            self._refute(member)
            return
        known = self._members.get(member.name)
        if known is None or member.precedence > known.precedence:
            self._store(member, now)

    def _refute(self, rumour: Member) -> None:
        """Outbid a wrong belief about this daemon, keeping its own status."""
        if rumour.incarnation != self._own.incarnation:
            return
        if rumour.precedence <= self._own.precedence:
            return
        self._own = self._own.with_changes(counter=rumour.counter + 1)
        self._member_facts.add(self._own.name, self._own)

    def _store(self, member: Member, now: float) -> None:
        self._members[member.name] = member
        self._member_facts.add(member.name, member)
        if member.status is MemberStatus.SUSPECT:
            self._suspected_at.setdefault(member.name, now)
        else:
            self._suspected_at.pop(member.name, None)

    # What the platform says.

    def _merge_list(self, instances: tuple[Instance, ...], now: float) -> None:
        """Take new names from the list, and the end of old ones.

        The list lags, so it never revives a member that is leaving or dead.
        """
        for instance in instances:
            known = self._members.get(instance.name)
            match instance.state:
                case InstanceState.TERMINATED:
                    self._terminated.add(instance.name)
                    if known is not None:
                        self._store(known.with_changes(status=MemberStatus.DEAD), now)
                case InstanceState.LIVE if known is None:
                    self._add_listed(instance, now)
        self._forget_unlisted({instance.name for instance in instances})

    def _forget_unlisted(self, listed: set[str]) -> None:
        gone = [
            member.name
            for member in self._members.values()
            if member.status is MemberStatus.DEAD and member.name not in listed
        ]
        for name in gone:
            del self._members[name]
        self._terminated &= listed

    def _add_listed(self, instance: Instance, now: float) -> None:
        if instance.name == self._own.name:
            return
        # The region and the incarnation follow with the first heartbeat.
        listed = Member(
            name=instance.name,
            address=instance.address,
            zone=instance.zone,
            region=self._own.region,
            incarnation=0,
            counter=0,
            status=MemberStatus.ALIVE,
        )
        self._store(listed, now)

    # Probes.

    def _probe(self, now: float) -> Iterator[Effect]:
        if now < self._next_probe_at:
            return
        self._next_probe_at = now + self._settings.probe_interval
        name = self._choose_peer()
        if name is None:
            return
        self._probe_number += 1
        self._probes[self._probe_number] = (name, now)
        member = self._members[name]
        if member.status is not MemberStatus.ALIVE:
            # The peer must hear what is believed of it to be able to refute it.
            self._member_facts.add(name, member)
        yield SendToAddress(
            member.address,
            Heartbeat(self._probe_number, self._own, self._revision, *self._facts()),
        )

    def _choose_peer(self) -> str | None:
        """Walk a shuffled list, so that each peer is probed once a round.

        Dead peers stay on it until the platform says that they are gone, or two
        sides of a partition that has healed would never find each other.
        """
        while self._order:
            name = self._order.pop()
            if self._is_probed(name):
                return name
        self._order = sorted(filter(self._is_probed, self._members))
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _is_probed(self, name: str) -> bool:
        return name in self._members and name not in self._terminated

    def _expire(self, now: float) -> None:
        late = [
            (number, name)
            for number, (name, sent_at) in self._probes.items()
            if now - sent_at >= self._settings.probe_timeout
        ]
        for number, name in late:
            del self._probes[number]
            self._suspect(name, now)
        for name, since in tuple(self._suspected_at.items()):
            if now - since >= self._settings.suspect_timeout:
                member = self._members[name]
                self._store(member.with_changes(status=MemberStatus.DEAD), now)

    def _suspect(self, name: str, now: float) -> None:
        member = self._members[name]
        if member.status is MemberStatus.ALIVE:
            self._store(member.with_changes(status=MemberStatus.SUSPECT), now)
        elif member.status is MemberStatus.LEAVING:
            self._store(member.with_changes(status=MemberStatus.DEAD), now)

    def _acknowledge(self, number: int, now: float) -> HeartbeatAcknowledged:
        age = None if self._confirmed_at is None else now - self._confirmed_at
        return HeartbeatAcknowledged(
            number, self._own, self._revision, *self._facts(), confirmed_age=age
        )

    def _facts(self) -> tuple[tuple[Member, ...], tuple[Notice, ...]]:
        count = len(self._members)
        return (
            self._member_facts.take(MEMBERS_PER_MESSAGE, count),
            self._notice_facts.take(NOTICES_PER_MESSAGE, count),
        )

    # Notices.

    def _raise_notice(self, raised: NoticeRaised) -> None:
        self._notice_number += 1
        self._remember(
            Notice(
                raised.kind,
                raised.subject,
                raised.detail,
                f"{self._own.name}/{self._own.incarnation}",
                self._notice_number,
            )
        )

    def _remember(self, notice: Notice) -> bool:
        """Record a notice; return whether it is new here."""
        key = (notice.origin, notice.number)
        if key in self._known_notices:
            return False
        self._known_notices[key] = None
        if len(self._known_notices) > NOTICE_CAPACITY:
            del self._known_notices[next(iter(self._known_notices))]
        self._notice_facts.add(key, notice)
        return True

    # Leaving.

    def _leave(self) -> Iterator[Effect]:
        self._own = self._own.with_changes(status=MemberStatus.LEAVING)
        self._member_facts.add(self._own.name, self._own)
        peers = [name for name in self._members if self._is_probed(name)]
        chosen = self._random.sample(peers, min(LEAVE_FANOUT, len(peers)))
        for name in chosen:
            self._probe_number += 1
            yield SendToAddress(
                self._members[name].address,
                Heartbeat(
                    self._probe_number, self._own, self._revision, *self._facts()
                ),
            )

    # The view.

    def _compare_view(self) -> Iterator[Effect]:
        usable = self._select(MemberStatus.ALIVE, MemberStatus.SUSPECT)
        view = ViewChanged(usable, self._select(MemberStatus.LEAVING))
        if view != self._view:
            self._view = view
            yield view

    def _select(self, *statuses: MemberStatus) -> tuple[Member, ...]:
        everyone = (self._own, *self._members.values())
        chosen = (member for member in everyone if member.status in statuses)
        return tuple(sorted(chosen, key=lambda member: member.name))
