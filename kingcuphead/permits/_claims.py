"""Turns queries of daemons into claims."""

from kingcuphead.addresses import Address
from kingcuphead.permits._coordinator import PermitClaim
from kingcuphead.permits._memory import MemoryClaim
from kingcuphead.permits._messages import PermitAsked
from kingcuphead.permits._room import OpenRequests


def make_claim(query: PermitAsked, sender: Address) -> PermitClaim:
    """Return the claim that a query of a daemon makes."""
    holder = name_holder(sender)
    open_requests = OpenRequests(holder, query.number, query.open_requests)
    memory = None
    if query.memory_tokens is not None and query.memory_capacity is not None:
        memory = MemoryClaim(query.memory_tokens, query.memory_capacity)
    return PermitClaim(
        query.target,
        query.terms,
        query.slots,
        open_requests,
        memory,
        query.is_doubtful,
    )


def name_holder(address: Address) -> str:
    """Return the name under which a daemon is counted."""
    host, port = address
    return f"{host}:{port}"
