"""Turns questions of daemons into claims."""

from kingcuphead.permits._coordinator import PermitClaim
from kingcuphead.permits._memory import MemoryClaim
from kingcuphead.permits._messages import PermitAsked
from kingcuphead.permits._ranking import Address
from kingcuphead.permits._room import OpenRequests


def make_claim(question: PermitAsked, sender: Address) -> PermitClaim:
    """Return the claim that a question of a daemon makes."""
    holder = name_holder(sender)
    open_requests = OpenRequests(holder, question.number, question.open_requests)
    memory = None
    if question.memory_tokens is not None and question.memory_capacity is not None:
        memory = MemoryClaim(question.memory_tokens, question.memory_capacity)
    return PermitClaim(
        question.target,
        question.terms,
        question.slots,
        open_requests,
        memory,
        question.is_doubtful,
    )


def name_holder(address: Address) -> str:
    """Return the name under which a daemon is counted."""
    host, port = address
    return f"{host}:{port}"
