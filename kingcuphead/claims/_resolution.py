"""Decides whether an operator may settle a claim whose outcome is in doubt."""

import dataclasses
from typing import TypeAlias

from expression import Error, Ok, Result

from kingcuphead.claims._rows import (
    AnswerLost,
    ClaimRow,
    Held,
    Released,
    Resolved,
    encode_claim,
)
from kingcuphead.storage import Check, InstanceState, Put, Transaction

#: What an operator found out: the call didn't run, or it did.
Finding: TypeAlias = Released | Resolved


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """One claim as it stands in the table."""

    #: Organisation that made the call.
    organisation: str
    #: Idempotency key of the call.
    key: str
    #: Key of the row.
    row_key: str
    #: Version of the row.
    version: int
    #: The claim.
    claim: ClaimRow

    @property
    def is_in_doubt(self) -> bool:
        """Whether it isn't known if the call ran."""
        return isinstance(self.claim.state, Held | AnswerLost)

    @property
    def state_name(self) -> str:
        """Name of the state, for example "held" or "recorded"."""
        return str(self.claim.state.__struct_config__.tag)

    def with_changes(self, **changes: object) -> "ClaimEntry":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


@dataclasses.dataclass(frozen=True, slots=True)
class ResolutionRefused:
    """A finding that would let a call run twice, or that changes nothing."""

    #: Cause, in English.
    cause: str


def decide_resolution(
    entry: ClaimEntry, finding: Finding, holder: InstanceState | None
) -> Result[Transaction, ResolutionRefused]:
    """Return the write that settles a claim.

    A held claim is released only if its holder is terminated: a holder that is
    paused may still dispatch the call, however long ago it claimed it.

    Parameters
    ----------
    entry : ClaimEntry
        The claim as the operator saw it; the write is conditional on its version.
    finding : Released or Resolved
        What the operator found out.
    holder : InstanceState, optional
        State of the holding instance in the platform's list; None if the list
        doesn't have it, which proves nothing.
    """
    if not entry.is_in_doubt:
        return Error(ResolutionRefused("the outcome of the call is not in doubt"))
    is_held = isinstance(entry.claim.state, Held)
    is_release = isinstance(finding, Released)
    if is_held and is_release and holder is not InstanceState.TERMINATED:
        cause = f"instance {entry.claim.instance} is not known to be terminated"
        return Error(ResolutionRefused(cause))
    settled = Put(entry.row_key, encode_claim(entry.claim.with_state(finding)))
    check = Check(entry.row_key, entry.version)
    return Ok(Transaction((check,), (settled,)))
