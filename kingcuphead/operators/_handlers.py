"""Handlers of the operators' API."""

import time

from expression import Error, Ok, Result
from prometheus_client import CONTENT_TYPE_LATEST

from kingcuphead.configuration import Change, DeleteRecord, PutRecord
from kingcuphead.operators._base import OperatorHandler
from kingcuphead.operators._messages import FaultKind, OperatorFault
from kingcuphead.operators._requests import (
    MAX_AUTHOR_LENGTH,
    ChangeBody,
    LimitBody,
    ReleaseBody,
    TopUpBody,
    make_id,
    parse_id,
)
from kingcuphead.records import RecordKind, RecordName, decode_record, name_record

#: Most changes in one answer.
MAX_CHANGES = 200


def parse_kind(kind: str) -> Result[RecordKind, OperatorFault]:
    """Return the record kind of a path."""
    if kind in tuple(RecordKind):
        return Ok(RecordKind(kind))
    message = f"no records of kind {kind!r}; known are {', '.join(RecordKind)}"
    return Error(OperatorFault(FaultKind.NOT_FOUND, message))


class RecordListHandler(OperatorHandler):
    """`/records/KIND`."""

    async def get(self, kind: str) -> None:
        """List the records of a kind."""
        parsed = self.unwrap(parse_kind(kind))
        self.answer(self.unwrap(await self.backend.records.list_records(parsed)))


class RecordHandler(OperatorHandler):
    """`/records/KIND/NAME`, changed under the revision that was read."""

    async def get(self, kind: str, name: str) -> None:
        """Show one record; its ETag is the revision that wrote it."""
        wanted = RecordName(self.unwrap(parse_kind(kind)), name)
        view = self.unwrap(await self.backend.records.read_record(wanted))
        self.set_header("ETag", f'"{view.revision}"')
        self.answer(view)

    async def put(self, kind: str, name: str) -> None:
        """Write one record."""
        wanted = RecordName(self.unwrap(parse_kind(kind)), name)
        expected = self._read_expected()
        match decode_record(self.request.body):
            case Result(tag="ok", ok=record) if name_record(record) != wanted:
                message = f"the body is {record.name!r}, the path says {name!r}"
                self.refuse(OperatorFault(FaultKind.INVALID, message))
            case Result(tag="error", error=fault):
                self.refuse(OperatorFault(FaultKind.INVALID, fault.message))
        await self._submit(PutRecord(self.request.body, expected))

    async def delete(self, kind: str, name: str) -> None:
        """Remove one record."""
        wanted = RecordName(self.unwrap(parse_kind(kind)), name)
        await self._submit(DeleteRecord(wanted, self._read_expected()))

    def _read_expected(self) -> int:
        """Return the revision of `If-Match`; 0 for `If-None-Match: *`."""
        if self.request.headers.get("If-None-Match") == "*":
            return 0
        written = self.request.headers.get("If-Match", "").strip('"')
        if not written.isdecimal():
            message = "say which revision was read (If-Match) or If-None-Match: *"
            self.refuse(OperatorFault(FaultKind.PRECONDITION_REQUIRED, message))
        return int(written)

    async def _submit(self, edit: PutRecord | DeleteRecord) -> None:
        headers = self.request.headers
        id_ = self.unwrap(parse_id(headers.get("Change-Id") or make_id()))
        author = headers.get("Operator", "unnamed")[:MAX_AUTHOR_LENGTH]
        repeated = headers.get("Change-Repeated") == "true"
        change = Change(id_, author, time.time(), (edit,), repeated)
        self.answer(self.unwrap(await self.backend.records.submit(change)))


class ChangesHandler(OperatorHandler):
    """`/changes`."""

    async def get(self) -> None:
        """List accepted changes above `after`, in order."""
        after = self._read_number("after", 0)
        limit = min(self._read_number("limit", MAX_CHANGES), MAX_CHANGES)
        changes = await self.backend.records.list_changes(after, limit)
        self.answer(self.unwrap(changes))

    async def post(self) -> None:
        """Make several edits at once."""
        change = self.read_body(ChangeBody).make_change(time.time())
        self.answer(self.unwrap(await self.backend.records.submit(change)))

    def _read_number(self, name: str, default: int) -> int:
        written = self.get_query_argument(name, str(default))
        if not written.isdecimal():
            message = f"{name}: {written!r} is no number"
            self.refuse(OperatorFault(FaultKind.INVALID, message))
        return int(written)


class RevisionHandler(OperatorHandler):
    """`/revision`."""

    async def get(self) -> None:
        """Show which revision is in force where."""
        self.answer(await self.backend.state.describe_revision())


class BudgetListHandler(OperatorHandler):
    """`/budgets`."""

    async def get(self) -> None:
        """List the money of every budget."""
        self.answer(self.unwrap(await self.backend.budgets.list_budgets()))


class BudgetHandler(OperatorHandler):
    """`/budgets/NAME`."""

    async def get(self, budget: str) -> None:
        """Show the money of one budget."""
        self.answer(self.unwrap(await self.backend.budgets.read_budget(budget)))

    async def post(self, budget: str) -> None:
        """Create a budget with a limit."""
        body = self.read_body(LimitBody)
        created = await self.backend.budgets.create_budget(budget, body.limit, body.id)
        self.answer(self.unwrap(created), 201)


class BudgetLimitHandler(OperatorHandler):
    """`/budgets/NAME/limit`."""

    async def put(self, budget: str) -> None:
        """Lower the limit."""
        body = self.read_body(LimitBody)
        lowered = await self.backend.budgets.lower_limit(budget, body.limit, body.id)
        self.answer(self.unwrap(lowered))


class TopUpHandler(OperatorHandler):
    """`/budgets/NAME/top-ups`."""

    async def post(self, budget: str) -> None:
        """Raise the limit by a payment."""
        body = self.read_body(TopUpBody)
        raised = await self.backend.budgets.top_up(budget, body.tokens, body.id)
        self.answer(self.unwrap(raised), 201)


class GrantReleaseHandler(OperatorHandler):
    """`/budgets/NAME/grants/ID/release`."""

    async def post(self, budget: str, grant_id: str) -> None:
        """Release what a dead instance may have spent."""
        body = self.read_body(ReleaseBody)
        backend = self.backend.budgets
        self.answer(self.unwrap(await backend.release_grant(budget, grant_id, body.id)))


class QuarantineListHandler(OperatorHandler):
    """`/quarantine`."""

    async def get(self) -> None:
        """List the requests that are not run."""
        self.answer(await self.backend.state.list_quarantined())


class QuarantineHandler(OperatorHandler):
    """`/quarantine/FINGERPRINT`."""

    async def delete(self, fingerprint: str) -> None:
        """Let a request run again on the whole fleet."""
        if not await self.backend.state.release_quarantined(fingerprint):
            message = f"fingerprint {fingerprint} is not in quarantine here"
            self.refuse(OperatorFault(FaultKind.NOT_FOUND, message))
        self.answer({"released": fingerprint})


class TargetsHandler(OperatorHandler):
    """`/targets`."""

    async def get(self) -> None:
        """List the targets as this daemon sees them."""
        self.answer(await self.backend.state.list_targets())


class ExplanationHandler(OperatorHandler):
    """`/explain/REQUEST_ID`."""

    async def get(self, request_id: str) -> None:
        """Show what became of a request."""
        found = await self.backend.state.explain(request_id)
        if not found:
            message = f"request {request_id} was not seen by this daemon, or long ago"
            self.refuse(OperatorFault(FaultKind.NOT_FOUND, message))
        self.answer(found)


class ClaimsHandler(OperatorHandler):
    """`/claims/ORGANISATION`."""

    async def get(self, organisation: str) -> None:
        """List an organisation's calls that run at most once."""
        claims = await self.backend.state.list_claims(organisation)
        self.answer(self.unwrap(claims))


class MetricsHandler(OperatorHandler):
    """`/metrics`."""

    async def get(self) -> None:
        """Expose the metrics."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(await self.backend.state.render_metrics())


class HealthHandler(OperatorHandler):
    """`/healthz`: the process answers."""

    guarded = False

    def get(self) -> None:
        """Answer."""
        self.answer({"healthy": True})


class ReadyHandler(OperatorHandler):
    """`/readyz`: callers may be sent here."""

    guarded = False

    def get(self) -> None:
        """Answer 200 if the daemon takes requests, else 503."""
        view = self.backend.state.check_ready()
        self.answer(view, 200 if view.ready else 503)
