"""State machine of failure detection and gossip among the daemons.

Each daemon probes one random peer per interval and piggybacks recent member updates
and notices, as in SWIM, so that the cost per daemon does not grow with the size of the
fleet. The membership view only selects the recipients of messages; it never grants
authority to spend tokens.
"""

import dataclasses
import random
from collections.abc import Iterator

from kingcuphead.membership._gossip_buffer import GossipBuffer
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

#: Maximum number of member updates in one message.
MEMBERS_PER_MESSAGE = 8
#: Maximum number of notices in one message.
NOTICES_PER_MESSAGE = 8
#: Maximum number of notices kept for gossip, and of notice keys kept to detect
#: duplicates.
NOTICE_CAPACITY = 256
#: Maximum number of member updates kept for gossip.
MEMBER_CAPACITY = 1024
#: Number of peers that a leaving daemon notifies directly.
LEAVE_FANOUT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals and timeouts of the membership protocol."""

    #: Seconds between two probes that this daemon sends.
    probe_interval: float = 0.5
    #: Seconds without an acknowledgement after which a peer becomes suspect, or dead if
    #: it is leaving.
    probe_timeout: float = 0.5
    #: Seconds after which a suspect peer becomes dead unless it sends a message or its
    #: refutation arrives as gossip.
    suspect_timeout: float = 3.0


class Membership:
    """Membership state machine of one daemon.

    Parameters
    ----------
    own
        This daemon with its initial status.
    settings
        Intervals and timeouts.
    rng
        Random number generator that selects the peers to probe.
    """

    def __init__(
        self, own: Member, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._own = own
        self._settings = settings
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._suspected_at: dict[str, float] = {}
        self._pending_probes: dict[int, tuple[str, float]] = {}
        self._probe_order: list[str] = []
        self._next_probe_at = 0.0
        self._probe_number = 0
        self._notice_number = 0
        self._revision = 0
        self._confirmed_at: float | None = None
        self._terminated: set[str] = set()
        self._view = ViewChanged(())
        self._member_gossip: GossipBuffer[Member] = GossipBuffer(MEMBER_CAPACITY)
        self._notice_gossip: GossipBuffer[Notice] = GossipBuffer(NOTICE_CAPACITY)
        self._seen_notices: dict[tuple[str, int], None] = {}

    @property
    def own(self) -> Member:
        """Own entry with its current status, as sent in heartbeats."""
        return self._own

    @property
    def members(self) -> tuple[Member, ...]:
        """All peers in the membership table, of any status."""
        return tuple(self._members.values())

    def receive(self, message: Input, now: float) -> tuple[Effect, ...]:
        """Handle one message.

        Parameters
        ----------
        message
            A peer message or a local event.
        now
            Monotonic time in seconds.

        Returns
        -------
        tuple of Effect
            Effects for the daemon to execute, in order.
        """
        effects = tuple(self._handle(message, now))
        return effects + tuple(self._update_view())

    def _handle(self, message: Input, now: float) -> Iterator[Effect]:
        match message:
            case Heartbeat():
                yield from self._apply_gossip(message, None, now)
                acknowledgement = self._acknowledge(message.number, now)
                yield SendToAddress(message.sender.address, acknowledgement)
            case HeartbeatAcknowledged():
                confirmed_at = self._complete_probe(message)
                yield from self._apply_gossip(message, confirmed_at, now)
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

    # Messages from peers.

    def _apply_gossip(
        self,
        message: Heartbeat | HeartbeatAcknowledged,
        confirmed_at: float | None,
        now: float,
    ) -> Iterator[Effect]:
        self._apply_sender(message.sender, now)
        for member in message.members:
            self._apply_member(member, now)
        yield PeerRevisionSeen(message.sender.name, message.revision, confirmed_at)
        for notice in message.notices:
            if self._record_notice(notice):
                yield NoticeReceived(notice)

    def _complete_probe(self, message: HeartbeatAcknowledged) -> float | None:
        """Remove the pending probe and return when the peer's revision was confirmed.

        The age counts from the sending of the probe, so that network delay can only
        make the confirmation older.
        """
        _, sent_at = self._pending_probes.pop(message.number, ("", None))
        if sent_at is None or message.confirmed_age is None:
            return None
        return sent_at - message.confirmed_age

    def _apply_sender(self, sender: Member, now: float) -> None:
        """Clear a suspicion of the sender's incarnation and apply its own update.

        If the sender is dead in this view, its status is added to the gossip, so that
        the sender can refute it.
        """
        known = self._members.get(sender.name)
        if known is not None and known.incarnation == sender.incarnation:
            match known.status:
                case MemberStatus.SUSPECT:
                    self._store(known.with_changes(status=MemberStatus.ALIVE), now)
                case MemberStatus.DEAD:
                    self._member_gossip.add(known.name, known)
        self._apply_member(sender, now)

    def _apply_member(self, member: Member, now: float) -> None:
        if member.name == self._own.name:
            self._refute(member)
            return
        known = self._members.get(member.name)
        if known is None or member.precedence > known.precedence:
            self._store(member, now)

    def _refute(self, update: Member) -> None:
        """Override a wrong status of this daemon by raising the counter of its own."""
        if update.incarnation != self._own.incarnation:
            return
        if update.precedence <= self._own.precedence:
            return
        self._own = self._own.with_changes(counter=update.counter + 1)
        self._member_gossip.add(self._own.name, self._own)

    def _store(self, member: Member, now: float) -> None:
        self._members[member.name] = member
        self._member_gossip.add(member.name, member)
        if member.status is MemberStatus.SUSPECT:
            self._suspected_at.setdefault(member.name, now)
        else:
            self._suspected_at.pop(member.name, None)

    # Instance list of the platform.

    def _merge_list(self, instances: tuple[Instance, ...], now: float) -> None:
        """Add live instances, mark terminated ones as dead, remove unlisted dead ones.

        The list lags behind, so it never changes a leaving or dead member back to
        alive.
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
        self._remove_unlisted({instance.name for instance in instances})

    def _remove_unlisted(self, listed: set[str]) -> None:
        removed = [
            member.name
            for member in self._members.values()
            if member.status is MemberStatus.DEAD and member.name not in listed
        ]
        for name in removed:
            del self._members[name]
        self._pending_probes = {
            number: probe
            for number, probe in self._pending_probes.items()
            if probe[0] in self._members
        }
        self._terminated &= listed

    def _add_listed(self, instance: Instance, now: float) -> None:
        if instance.name == self._own.name:
            return
        # Placeholders for region and incarnation; the first heartbeat has both.
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
        self._pending_probes[self._probe_number] = (name, now)
        member = self._members[name]
        if member.status is not MemberStatus.ALIVE:
            # The peer has to receive its status to be able to refute it.
            self._member_gossip.add(name, member)
        yield SendToAddress(
            member.address,
            Heartbeat(
                self._probe_number, self._own, self._revision, *self._select_gossip()
            ),
        )

    def _choose_peer(self) -> str | None:
        """Return the next peer of a shuffled list that has each peer once per round.

        Dead peers are probed until the platform lists them as terminated or no longer
        lists them; otherwise the two sides of a healed partition would never contact
        each other again.
        """
        while self._probe_order:
            name = self._probe_order.pop()
            if self._is_probed(name):
                return name
        self._probe_order = sorted(filter(self._is_probed, self._members))
        self._rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _is_probed(self, name: str) -> bool:
        return name in self._members and name not in self._terminated

    def _expire(self, now: float) -> None:
        overdue = [
            (number, name)
            for number, (name, sent_at) in self._pending_probes.items()
            if now - sent_at >= self._settings.probe_timeout
        ]
        for number, name in overdue:
            del self._pending_probes[number]
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
            number, self._own, self._revision, *self._select_gossip(), confirmed_age=age
        )

    def _select_gossip(self) -> tuple[tuple[Member, ...], tuple[Notice, ...]]:
        count = len(self._members)
        return (
            self._member_gossip.select_batch(MEMBERS_PER_MESSAGE, count),
            self._notice_gossip.select_batch(NOTICES_PER_MESSAGE, count),
        )

    # Notices.

    def _raise_notice(self, event: NoticeRaised) -> None:
        self._notice_number += 1
        self._record_notice(
            Notice(
                event.kind,
                event.subject,
                event.detail,
                f"{self._own.name}/{self._own.incarnation}",
                self._notice_number,
            )
        )

    def _record_notice(self, notice: Notice) -> bool:
        """Add a notice to the gossip; return False if it is a duplicate."""
        key = (notice.origin, notice.number)
        if key in self._seen_notices:
            return False
        self._seen_notices[key] = None
        if len(self._seen_notices) > NOTICE_CAPACITY:
            del self._seen_notices[next(iter(self._seen_notices))]
        self._notice_gossip.add(key, notice)
        return True

    # Graceful shutdown.

    def _leave(self) -> Iterator[Effect]:
        self._own = self._own.with_changes(status=MemberStatus.LEAVING)
        self._member_gossip.add(self._own.name, self._own)
        peers = [name for name in self._members if self._is_probed(name)]
        chosen = self._rng.sample(peers, min(LEAVE_FANOUT, len(peers)))
        for name in chosen:
            self._probe_number += 1
            yield SendToAddress(
                self._members[name].address,
                Heartbeat(
                    self._probe_number,
                    self._own,
                    self._revision,
                    *self._select_gossip(),
                ),
            )

    # Membership view.

    def _update_view(self) -> Iterator[Effect]:
        usable = self._select(MemberStatus.ALIVE, MemberStatus.SUSPECT)
        view = ViewChanged(usable, self._select(MemberStatus.LEAVING))
        if view != self._view:
            self._view = view
            yield view

    def _select(self, *statuses: MemberStatus) -> tuple[Member, ...]:
        all_members = (self._own, *self._members.values())
        chosen = (member for member in all_members if member.status in statuses)
        return tuple(sorted(chosen, key=lambda member: member.name))
