"""Interfaces to what the operators' API shows and changes."""

import dataclasses
from typing import Protocol

from expression import Result

from kingcuphead.budgets import BudgetReport
from kingcuphead.configuration import Change
from kingcuphead.operators._messages import (
    AcceptedView,
    ChangeView,
    ClaimView,
    Explanation,
    OperatorFault,
    QuarantineView,
    ReadyView,
    RecordView,
    RevisionView,
    TargetView,
)
from kingcuphead.records import RecordKind, RecordName


class RecordBackend(Protocol):
    """Configuration records."""

    async def read_record(self, name: RecordName) -> Result[RecordView, OperatorFault]:
        """Return one record."""
        ...

    async def list_records(
        self, kind: RecordKind
    ) -> Result[tuple[RecordView, ...], OperatorFault]:
        """Return every record of a kind, by name."""
        ...

    async def submit(self, change: Change) -> Result[AcceptedView, OperatorFault]:
        """Bring a change into force."""
        ...

    async def list_changes(
        self, after: int, limit: int
    ) -> Result[tuple[ChangeView, ...], OperatorFault]:
        """Return accepted changes above a revision, in order."""
        ...


class BudgetBackend(Protocol):
    """The money of budgets."""

    async def list_budgets(self) -> Result[tuple[BudgetReport, ...], OperatorFault]:
        """Return every budget."""
        ...

    async def read_budget(self, budget: str) -> Result[BudgetReport, OperatorFault]:
        """Return one budget."""
        ...

    async def create_budget(
        self, budget: str, limit: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Create a budget once for each id."""
        ...

    async def top_up(
        self, budget: str, tokens: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Raise a limit once for each id."""
        ...

    async def lower_limit(
        self, budget: str, limit: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Lower a limit once for each id, not below what is billed or granted."""
        ...

    async def release_grant(
        self, budget: str, grant_id: str, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Give the rest of a dead instance's grant back to its budget."""
        ...


class StateBackend(Protocol):
    """State of the running daemon."""

    async def describe_revision(self) -> RevisionView:
        """Return which revision is in force where."""
        ...

    async def list_targets(self) -> tuple[TargetView, ...]:
        """Return the targets as this daemon sees them."""
        ...

    async def list_quarantined(self) -> tuple[QuarantineView, ...]:
        """Return the fingerprints that are not run."""
        ...

    async def release_quarantined(self, fingerprint: str) -> bool:
        """Let a fingerprint go on the whole fleet; False if it was not held."""
        ...

    async def explain(self, request_id: str) -> tuple[Explanation, ...]:
        """Return what became of a request, once for each try seen here."""
        ...

    async def list_claims(
        self, organisation: str
    ) -> Result[tuple[ClaimView, ...], OperatorFault]:
        """Return an organisation's claims."""
        ...

    def check_ready(self) -> ReadyView:
        """Return whether callers may be sent here."""
        ...

    async def render_metrics(self) -> bytes:
        """Return the metrics in the exposition format."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorBackend:
    """Everything that the operators' API reaches."""

    #: Configuration records.
    records: RecordBackend
    #: The money of budgets.
    budgets: BudgetBackend
    #: State of the daemon.
    state: StateBackend
