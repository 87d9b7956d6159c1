"""What targets take from the whole fleet: the account that all daemons share.

A target may state how many requests it takes from all daemons together, or ask for
time. For each target one daemon coordinates: the others ask it for a permit before they
send a request there.
"""

from kingcuphead.permits._cold import ColdBounds
from kingcuphead.permits._coordinator import Decision, PermitCoordinator
from kingcuphead.permits._exchange import PermitExchange
from kingcuphead.permits._memory import MemoryClaim
from kingcuphead.permits._messages import (
    CoordinatorProbed,
    PermitAnswered,
    PermitAsked,
    PermitMessage,
    ProbeAnswered,
    RoomReported,
    TermsReported,
)
from kingcuphead.permits._terms import TargetTerms, TermsTable

__all__ = [
    "ColdBounds",
    "CoordinatorProbed",
    "Decision",
    "MemoryClaim",
    "PermitAnswered",
    "PermitAsked",
    "PermitCoordinator",
    "PermitExchange",
    "PermitMessage",
    "ProbeAnswered",
    "RoomReported",
    "TargetTerms",
    "TermsReported",
    "TermsTable",
]
