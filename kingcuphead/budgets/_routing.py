"""Which daemon is a shard's home, and which can witness a bill."""

import dataclasses
from collections.abc import Iterator
from itertools import islice

from kingcuphead.budgets._messages import Member
from kingcuphead.budgets._rendezvous import choose_member, rank_members
from kingcuphead.budgets._settings import Settings

#: Homes that are tried before a daemon acts as home itself.
HOME_CANDIDATES = 2


def get_instance(incarnation: str) -> str:
    """Return the instance name of an incarnation."""
    return incarnation.rpartition("/")[0]


@dataclasses.dataclass(slots=True)
class Routing:
    """Beliefs about the other daemons; a wrong one costs a detour, never money."""

    #: This daemon.
    own: Member
    #: Settings.
    settings: Settings
    #: Live members by name, this daemon included.
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    #: Monotonic time in seconds until which a silent member is passed over.
    suspects: dict[str, float] = dataclasses.field(default_factory=dict)
    #: Length of the last suspicion of a member, in seconds.
    spans: dict[str, float] = dataclasses.field(default_factory=dict)

    #: Preferred homes in this region by shard, until the view changes.
    homes: dict[int, tuple[Member, ...]] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start alone."""
        self.members = {self.own.name: self.own}

    def replace_members(self, members: tuple[Member, ...]) -> None:
        """Take over a new view."""
        self.members = {member.name: member for member in members}
        self.members[self.own.name] = self.own
        self.homes.clear()

    def suspect(self, instance: str, now: float) -> None:
        """Pass over a member for a while, each time for longer."""
        if self.suspects.get(instance, now) > now:
            return
        settings = self.settings
        longer = max(settings.suspect_seconds, 2 * self.spans.get(instance, 0.0))
        self.spans[instance] = min(settings.suspect_longest, longer)
        self.suspects[instance] = now + self.spans[instance]

    def pass_over(self, instance: str, shard: int, now: float) -> bool:
        """Pass over a home that cannot lend; return whether another one is left.

        The daemon itself is passed over as well: while the table is down, a new
        instance holds no grant, but the home before it may.
        """
        self.suspect(instance, now)
        return self.choose_home(shard, now).name != instance

    def trust(self, instance: str) -> None:
        """Stop passing over a member that was heard of."""
        self.suspects.pop(instance, None)
        self.spans.pop(instance, None)

    def is_reachable(self, instance: str, now: float) -> bool:
        """Return whether a member is live and not suspected."""
        return instance in self.members and self.suspects.get(instance, now) <= now

    def iterate_reachable(self, now: float) -> Iterator[Member]:
        """Yield the members that are live and not suspected."""
        return (m for m in self.members.values() if self.is_reachable(m.name, now))

    def choose_home(self, shard: int, now: float) -> Member:
        """Return the first reachable home of a shard, or this daemon itself.

        Daemons that miss the first home agree on the second, so that the budget is
        not spread over a grant for each of them.
        """
        if shard not in self.homes:
            self.homes[shard] = self.rank_homes(shard)
        reachable = (m for m in self.homes[shard] if self.is_reachable(m.name, now))
        return next(reachable, self.own)

    def rank_homes(self, shard: int) -> tuple[Member, ...]:
        """Return the preferred homes of a shard, reachable or not."""
        regional = [m for m in self.members.values() if m.region == self.own.region]
        return tuple(islice(rank_members(f"home/{shard}", regional), HOME_CANDIDATES))

    def choose_witness(self, shard: int, now: float) -> Member | None:
        """Return a member in another zone that keeps copies of bills."""
        candidates = (m for m in self.iterate_reachable(now) if self.is_apart(m.name))
        return choose_member(f"witness/{self.own.name}/{shard}", candidates)

    def is_apart(self, instance: str) -> bool:
        """Return whether a member is in another availability zone."""
        member = self.members.get(instance)
        return member is not None and member.zone != self.own.zone
