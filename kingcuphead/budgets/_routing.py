"""Choice of the home of a shard and of the holder of a bill replica."""

import dataclasses
from collections.abc import Iterator
from itertools import islice

from kingcuphead.budgets._messages import Member
from kingcuphead.budgets._rendezvous import choose_member, rank_members
from kingcuphead.budgets._settings import Settings

#: Number of preferred homes of a shard; if none is reachable, the daemon itself acts
#: as the home.
HOME_CANDIDATES = 2


def get_instance(incarnation: str) -> str:
    """Return the instance name of an incarnation."""
    return incarnation.rpartition("/")[0]


@dataclasses.dataclass(slots=True)
class Routing:
    """Cached membership view and suspected daemons.

    A wrong view causes additional messages and grants, but no wrong charges.
    """

    #: Member entry of this daemon.
    own: Member
    #: Settings of the budget state machines.
    settings: Settings
    #: Live members by name, this daemon included.
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    #: Monotonic time in seconds until which a suspected member is skipped, by name.
    suspected_until: dict[str, float] = dataclasses.field(default_factory=dict)
    #: Duration of the last suspicion of a member in seconds, by name.
    suspicion_lengths: dict[str, float] = dataclasses.field(default_factory=dict)

    #: Cached preferred homes in this region, by shard; cleared if the view changes.
    ranked_homes: dict[int, tuple[Member, ...]] = dataclasses.field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Start with a view of this daemon alone."""
        self.members = {self.own.name: self.own}

    def replace_members(self, members: tuple[Member, ...]) -> None:
        """Replace the membership view; this daemon is always included."""
        self.members = {member.name: member for member in members}
        self.members[self.own.name] = self.own
        self.ranked_homes.clear()

    def suspect(self, instance: str, now: float) -> None:
        """Suspect a member, with a duration that doubles up to a maximum."""
        if self.suspected_until.get(instance, now) > now:
            return
        settings = self.settings
        longer = max(
            settings.suspect_seconds, 2 * self.suspicion_lengths.get(instance, 0.0)
        )
        self.suspicion_lengths[instance] = min(settings.suspect_longest, longer)
        self.suspected_until[instance] = now + self.suspicion_lengths[instance]

    def skip_home(self, instance: str, shard: int, now: float) -> bool:
        """Suspect a home that cannot lend; return whether there is another one.

        The home may be this daemon itself: during an outage of the table a new instance
        has no grant, but the previous home may have one.
        """
        self.suspect(instance, now)
        return self.choose_home(shard, now).name != instance

    def clear_suspicion(self, instance: str) -> None:
        """End the suspicion of a member that replied."""
        self.suspected_until.pop(instance, None)
        self.suspicion_lengths.pop(instance, None)

    def is_reachable(self, instance: str, now: float) -> bool:
        """Return whether a member is live and not suspected."""
        return (
            instance in self.members and self.suspected_until.get(instance, now) <= now
        )

    def iterate_reachable(self, now: float) -> Iterator[Member]:
        """Yield the members that are live and not suspected."""
        return (m for m in self.members.values() if self.is_reachable(m.name, now))

    def choose_home(self, shard: int, now: float) -> Member:
        """Return the first reachable home of a shard, or this daemon itself.

        Daemons that cannot reach the first home use the same second home, which keeps
        the budget from being divided into a grant for each of them.
        """
        if shard not in self.ranked_homes:
            self.ranked_homes[shard] = self.rank_homes(shard)
        reachable = (
            m for m in self.ranked_homes[shard] if self.is_reachable(m.name, now)
        )
        return next(reachable, self.own)

    def rank_homes(self, shard: int) -> tuple[Member, ...]:
        """Return the preferred homes of a shard, reachable or not."""
        regional = [m for m in self.members.values() if m.region == self.own.region]
        return tuple(islice(rank_members(f"home/{shard}", regional), HOME_CANDIDATES))

    def choose_replica_holder(self, shard: int, now: float) -> Member | None:
        """Return a reachable member in another zone to hold bill replicas, or None."""
        candidates = (
            m for m in self.iterate_reachable(now) if self.is_in_other_zone(m.name)
        )
        return choose_member(f"witness/{self.own.name}/{shard}", candidates)

    def is_in_other_zone(self, instance: str) -> bool:
        """Return whether a member is in another availability zone."""
        member = self.members.get(instance)
        return member is not None and member.zone != self.own.zone
