"""Decides whether an operator may resolve a claim whose outcome is in doubt."""

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

#: State that an operator sets: the call did not run (released) or ran (resolved).
Resolution: TypeAlias = Released | Resolved


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """One claim as read from the table."""

    #: Organisation that made the call.
    organisation: str
    #: Idempotency key of the call, chosen by the caller.
    key: str
    #: Key of the claim's row.
    row_key: str
    #: Version of the row when it was read.
    version: int
    #: Decoded value of the row.
    claim: ClaimRow

    @property
    def is_in_doubt(self) -> bool:
        """Whether it is unknown if the call ran."""
        return isinstance(self.claim.state, Held | AnswerLost)

    @property
    def state_name(self) -> str:
        """Name of the state as stored, for example "held" or "recorded"."""
        return str(self.claim.state.__struct_config__.tag)

    def with_changes(self, **changes: object) -> "ClaimEntry":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


@dataclasses.dataclass(frozen=True, slots=True)
class ResolutionRefused:
    """The resolution could let a call run twice, has no effect or wasn't written."""

    #: Cause, in English.
    cause: str


def decide_resolution(
    entry: ClaimEntry, resolution: Resolution, holder_state: InstanceState | None
) -> Result[Transaction, ResolutionRefused]:
    """Return the conditional write that resolves a claim.

    A held claim may be released only if the holding instance is terminated: an
    instance that is merely paused may still dispatch the call, however old the claim.

    Parameters
    ----------
    entry : ClaimEntry
        The claim as the operator read it; the write is conditional on its version.
    resolution : Released or Resolved
        Whether the call did not run, or ran.
    holder_state : InstanceState, optional
        State of the holding instance in the platform's instance list; None if it
        isn't listed, which doesn't prove that it is terminated.

    Returns
    -------
    Result
        The transaction, or why the resolution is refused.
    """
    if not entry.is_in_doubt:
        return Error(ResolutionRefused("the outcome of the call is not in doubt"))
    is_held = isinstance(entry.claim.state, Held)
    is_release = isinstance(resolution, Released)
    if is_held and is_release and holder_state is not InstanceState.TERMINATED:
        cause = f"instance {entry.claim.instance} is not known to be terminated"
        return Error(ResolutionRefused(cause))
    resolved = Put(entry.row_key, encode_claim(entry.claim.with_state(resolution)))
    check = Check(entry.row_key, entry.version)
    return Ok(Transaction((check,), (resolved,)))
