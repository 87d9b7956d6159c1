"""Lists and resolves claims for operators."""

import dataclasses
from collections.abc import Iterator

from expression import Error, Ok, Result

from kingcuphead.claims._resolution import (
    ClaimEntry,
    Resolution,
    ResolutionRefused,
    decide_resolution,
)
from kingcuphead.claims._rows import (
    CLAIM_KEY_PREFIX,
    UnreadableClaim,
    decode_claim,
    make_organisation_prefix,
    make_row_key,
    split_row_key,
)
from kingcuphead.storage import (
    Committed,
    Conflict,
    InstanceState,
    PlatformFault,
    Row,
    ScanPage,
    Table,
    Unavailable,
    Unknown,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimPage:
    """One page of claims, in order of their row keys."""

    #: Claims that were decoded.
    entries: tuple[ClaimEntry, ...]
    #: Rows that couldn't be decoded, for example with a newer schema.
    unreadable: tuple[UnreadableClaim, ...]
    #: Row key after which the next page starts, or None on the last page.
    resume_after: str | None


class ClaimRegister:
    """Lists, reads and resolves the claims in the table.

    Parameters
    ----------
    table : Table
        The platform's table.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    async def list_claims(
        self,
        organisation: str | None = None,
        after: str | None = None,
        limit: int = 100,
    ) -> Result[ClaimPage, PlatformFault]:
        """Read a page of claims.

        Parameters
        ----------
        organisation : str, optional
            Organisation whose claims are listed; None for all.
        after : str, optional
            Row key after which the page starts: `resume_after` of the previous page.
        limit : int
            Maximum number of claims in the page.
        """
        prefix = CLAIM_KEY_PREFIX
        if organisation is not None:
            prefix = make_organisation_prefix(organisation)
        page = await self._table.scan(prefix, after, limit)
        return page.map(_make_page)

    async def find_claim(
        self, organisation: str, key: str
    ) -> Result[ClaimEntry | None, PlatformFault | UnreadableClaim]:
        """Read the claim of one call; None if there is none."""
        match await self._table.read((make_row_key(organisation, key),)):
            case Result(tag="ok", ok=()):
                return Ok(None)
            case Result(tag="ok", ok=(row, *_)):
                return _make_entry(row).map(_as_optional)
            case Result(error=fault):
                return Error(fault)

    async def resolve_claim(
        self,
        entry: ClaimEntry,
        resolution: Resolution,
        holder_state: InstanceState | None,
    ) -> Result[ClaimEntry, ResolutionRefused]:
        """Write an operator's resolution of a claim in doubt.

        Parameters
        ----------
        entry : ClaimEntry
            The claim as the operator read it.
        resolution : Released or Resolved
            Whether the call did not run, or ran.
        holder_state : InstanceState, optional
            State of the holding instance in the platform's instance list.

        Returns
        -------
        Result
            The resolved claim, or the cause of the refusal. After a lost reply the
            operator has to read the claim again.
        """
        match decide_resolution(entry, resolution, holder_state):
            case Result(tag="ok", ok=transaction):
                outcome = await self._table.commit(transaction)
            case Result(error=refused):
                return Error(refused)
        resolved = entry.claim.with_state(resolution)
        match outcome:
            case Committed(version):
                return Ok(entry.with_changes(version=version, claim=resolved))
            case Conflict():
                return Error(
                    ResolutionRefused("the claim has changed since it was read")
                )
            case Unavailable():
                return Error(ResolutionRefused("the platform's table is unavailable"))
            case Unknown():
                return Error(
                    ResolutionRefused(
                        "the reply to the write was lost; read the claim again"
                    )
                )


def _as_optional(entry: ClaimEntry) -> ClaimEntry | None:
    return entry


def _make_page(page: ScanPage) -> ClaimPage:
    decoded = tuple(_make_entry(row) for row in page.rows)
    return ClaimPage(
        tuple(_select_readable(decoded)),
        tuple(result.error for result in decoded if result.is_error()),
        page.resume_after,
    )


def _select_readable(
    decoded: tuple[Result[ClaimEntry, UnreadableClaim], ...],
) -> Iterator[ClaimEntry]:
    return (result.ok for result in decoded if result.is_ok())


def _make_entry(row: Row) -> Result[ClaimEntry, UnreadableClaim]:
    organisation, key = split_row_key(row.key)
    return decode_claim(row).map(
        lambda claim: ClaimEntry(organisation, key, row.key, row.version, claim)
    )
