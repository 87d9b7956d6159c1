"""Interfaces between the operators' API and the daemon that serves it."""

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
    """Reads and changes configuration records."""

    async def read_record(self, name: RecordName) -> Result[RecordView, OperatorFault]:
        """Return one record, or a `NOT_FOUND` fault if it does not exist."""
        ...

    async def list_records(
        self, kind: RecordKind
    ) -> Result[tuple[RecordView, ...], OperatorFault]:
        """Return all records of a kind, sorted by name."""
        ...

    async def submit(self, change: Change) -> Result[AcceptedView, OperatorFault]:
        """Commit a change to the configuration."""
        ...

    async def list_changes(
        self, after: int, limit: int
    ) -> Result[tuple[ChangeView, ...], OperatorFault]:
        """Return up to `limit` accepted changes after a revision, oldest first."""
        ...


class BudgetBackend(Protocol):
    """Reads and changes limits, settled tokens and grants of budgets."""

    async def list_budgets(self) -> Result[tuple[BudgetReport, ...], OperatorFault]:
        """Return all budgets, sorted by name."""
        ...

    async def read_budget(self, budget: str) -> Result[BudgetReport, OperatorFault]:
        """Return one budget, or a `NOT_FOUND` fault if it does not exist."""
        ...

    async def create_budget(
        self, budget: str, limit: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Create a budget; idempotent for each command id."""
        ...

    async def top_up(
        self, budget: str, tokens: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Add tokens to a limit; idempotent for each command id."""
        ...

    async def lower_limit(
        self, budget: str, limit: int, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Lower a limit; idempotent for each command id.

        The limit can't fall below the settled and granted tokens.
        """
        ...

    async def release_grant(
        self, budget: str, grant_id: str, id_: str
    ) -> Result[BudgetReport, OperatorFault]:
        """Return the rest of a terminated instance's grant to its budget."""
        ...


class StateBackend(Protocol):
    """Reads the state of the running daemon and releases quarantined requests."""

    async def describe_revision(self) -> RevisionView:
        """Return the configuration revisions of this daemon and its peers."""
        ...

    async def list_targets(self) -> tuple[TargetView, ...]:
        """Return the targets with their state and load on this daemon."""
        ...

    async def list_quarantined(self) -> tuple[QuarantineView, ...]:
        """Return the quarantined request fingerprints."""
        ...

    async def release_quarantined(self, fingerprint: str) -> bool:
        """Release a fingerprint on all daemons; False if it is not quarantined."""
        ...

    async def explain(self, request_id: str) -> tuple[Explanation, ...]:
        """Return the outcome of each arrival of a request at this daemon."""
        ...

    async def list_claims(
        self, organisation: str
    ) -> Result[tuple[ClaimView, ...], OperatorFault]:
        """Return the first idempotency claims of an organisation, in key order."""
        ...

    def check_ready(self) -> ReadyView:
        """Return whether callers may be routed to this daemon."""
        ...

    async def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus exposition format."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorBackend:
    """The backends that the handlers of the operators' API call."""

    #: Reads and changes configuration records.
    records: RecordBackend
    #: Reads and changes budgets.
    budgets: BudgetBackend
    #: Reads the state of the daemon.
    state: StateBackend
