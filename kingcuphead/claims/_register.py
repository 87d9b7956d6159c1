"""The operators' view of claims."""

import dataclasses
from collections.abc import Iterator

from expression import Error, Ok, Result

from kingcuphead.claims._resolution import (
    ClaimEntry,
    Finding,
    ResolutionRefused,
    decide_resolution,
)
from kingcuphead.claims._rows import (
    CLAIMS_FOLDER,
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
    """One page of claims in key order."""

    #: Claims that could be read.
    entries: tuple[ClaimEntry, ...]
    #: Rows that could not, for example of a newer schema.
    unreadable: tuple[UnreadableClaim, ...]
    #: Row key to continue after, or None on the last page.
    resume_after: str | None


class ClaimRegister:
    """Lists, shows and settles claims.

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
        """Return a page of claims.

        Parameters
        ----------
        organisation : str, optional
            Organisation whose claims are listed; None for all.
        after : str, optional
            Row key after which the page starts, from an earlier page.
        limit : int
            Most claims in the page.
        """
        prefix = CLAIMS_FOLDER
        if organisation is not None:
            prefix = make_organisation_prefix(organisation)
        page = await self._table.scan(prefix, after, limit)
        return page.map(_make_page)

    async def find_claim(
        self, organisation: str, key: str
    ) -> Result[ClaimEntry | None, PlatformFault | UnreadableClaim]:
        """Return the claim of one call, or None if there is none."""
        match await self._table.read((make_row_key(organisation, key),)):
            case Result(tag="ok", ok=()):
                return Ok(None)
            case Result(tag="ok", ok=(row, *_)):
                return _make_entry(row).map(_keep_entry)
            case Result(error=fault):
                return Error(fault)

    async def settle_claim(
        self, entry: ClaimEntry, finding: Finding, holder: InstanceState | None
    ) -> Result[ClaimEntry, ResolutionRefused]:
        """Write what an operator found out about a call in doubt.

        Parameters
        ----------
        entry : ClaimEntry
            The claim as the operator saw it.
        finding : Released or Resolved
            What was found out.
        holder : InstanceState, optional
            State of the holding instance in the platform's list.

        Returns
        -------
        Result
            The settled claim, or why it was left as it is. After a lost reply
            the operator reads the claim again.
        """
        match decide_resolution(entry, finding, holder):
            case Result(tag="ok", ok=transaction):
                outcome = await self._table.commit(transaction)
            case Result(error=refused):
                return Error(refused)
        settled = entry.claim.with_state(finding)
        match outcome:
            case Committed(version):
                return Ok(entry.with_changes(version=version, claim=settled))
            case Conflict():
                return Error(ResolutionRefused("the claim has changed meanwhile"))
            case Unavailable():
                return Error(ResolutionRefused("the table is unavailable"))
            case Unknown():
                return Error(ResolutionRefused("the reply was lost; read it again"))


def _keep_entry(entry: ClaimEntry) -> ClaimEntry | None:
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
