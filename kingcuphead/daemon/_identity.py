"""Who this daemon is, from its settings."""

import time

from kingcuphead.membership import Member, MemberStatus
from kingcuphead.settings import Settings


def make_own_member(settings: Settings) -> Member:
    """Return this process as its peers will know it."""
    return Member(
        name=settings.instance.name,
        address=f"{settings.listen.address}:{settings.listen.peer_port}",
        zone=settings.instance.zone,
        region=settings.instance.region,
        incarnation=time.time_ns(),
        counter=0,
        status=MemberStatus.ALIVE,
    )
