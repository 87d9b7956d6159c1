"""Identity of this daemon among its peers."""

import time

from kingcuphead.membership import Member, MemberStatus
from kingcuphead.settings import Settings


def make_own_member(settings: Settings) -> Member:
    """Return the membership entry of this process, with a new incarnation."""
    return Member(
        name=settings.instance.name,
        address=f"{settings.listen.address}:{settings.listen.peer_port}",
        zone=settings.instance.zone,
        region=settings.instance.region,
        incarnation=time.time_ns(),
        counter=0,
        status=MemberStatus.ALIVE,
    )
