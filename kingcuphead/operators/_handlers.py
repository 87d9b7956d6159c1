"""Request handlers of the operators' API."""

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

#: Maximum number of changes in one response.
MAX_CHANGES = 200


def parse_kind(kind: str) -> Result[RecordKind, OperatorFault]:
    """Return the record kind that a path names."""
    if kind in tuple(RecordKind):
        return Ok(RecordKind(kind))
    message = f"unknown record kind {kind!r}; the kinds are {', '.join(RecordKind)}"
    return Error(OperatorFault(FaultKind.NOT_FOUND, message))


class RecordListHandler(OperatorHandler):
    """`/records/KIND`."""

    async def get(self, kind: str) -> None:
        """Return all records of a kind."""
        parsed = self.unwrap(parse_kind(kind))
        self.respond(self.unwrap(await self.backend.records.list_records(parsed)))


class RecordHandler(OperatorHandler):
    """`/records/KIND/NAME`; changes are conditional on the record's revision."""

    async def get(self, kind: str, name: str) -> None:
        """Return one record; its ETag is the revision that wrote it."""
        record_name = RecordName(self.unwrap(parse_kind(kind)), name)
        view = self.unwrap(await self.backend.records.read_record(record_name))
        self.set_header("ETag", f'"{view.revision}"')
        self.respond(view)

    async def put(self, kind: str, name: str) -> None:
        """Create or replace one record."""
        record_name = RecordName(self.unwrap(parse_kind(kind)), name)
        expected = self._read_expected_revision()
        match decode_record(self.request.body):
            case Result(tag="ok", ok=record) if name_record(record) != record_name:
                message = f"the body is record {record.name!r}, the path has {name!r}"
                self.refuse(OperatorFault(FaultKind.INVALID, message))
            case Result(tag="error", error=fault):
                self.refuse(OperatorFault(FaultKind.INVALID, fault.message))
        await self._submit(PutRecord(self.request.body, expected))

    async def delete(self, kind: str, name: str) -> None:
        """Delete one record."""
        record_name = RecordName(self.unwrap(parse_kind(kind)), name)
        await self._submit(DeleteRecord(record_name, self._read_expected_revision()))

    def _read_expected_revision(self) -> int:
        """Return the revision in `If-Match`, or 0 for `If-None-Match: *`."""
        if self.request.headers.get("If-None-Match") == "*":
            return 0
        text = self.request.headers.get("If-Match", "").strip('"')
        if not text.isdecimal():
            message = "send If-Match with the revision read, or If-None-Match: *"
            self.refuse(OperatorFault(FaultKind.PRECONDITION_REQUIRED, message))
        return int(text)

    async def _submit(self, edit: PutRecord | DeleteRecord) -> None:
        headers = self.request.headers
        id_ = self.unwrap(parse_id(headers.get("Change-Id") or make_id()))
        author = headers.get("Operator", "unnamed")[:MAX_AUTHOR_LENGTH]
        repeated = headers.get("Change-Repeated") == "true"
        change = Change(id_, author, time.time(), (edit,), repeated)
        self.respond(self.unwrap(await self.backend.records.submit(change)))


class ChangesHandler(OperatorHandler):
    """`/changes`."""

    async def get(self) -> None:
        """Return accepted changes after revision `after`, oldest first."""
        after = self._read_number("after", 0)
        limit = min(self._read_number("limit", MAX_CHANGES), MAX_CHANGES)
        changes = await self.backend.records.list_changes(after, limit)
        self.respond(self.unwrap(changes))

    async def post(self) -> None:
        """Commit several edits as one change."""
        change = self.read_body(ChangeBody).make_change(time.time())
        self.respond(self.unwrap(await self.backend.records.submit(change)))

    def _read_number(self, name: str, default: int) -> int:
        text = self.get_query_argument(name, str(default))
        if not text.isdecimal():
            message = f"query parameter {name}: {text!r} is not a non-negative integer"
            self.refuse(OperatorFault(FaultKind.INVALID, message))
        return int(text)


class RevisionHandler(OperatorHandler):
    """`/revision`."""

    async def get(self) -> None:
        """Return the configuration revisions of this daemon and its peers."""
        self.respond(await self.backend.state.describe_revision())


class BudgetListHandler(OperatorHandler):
    """`/budgets`."""

    async def get(self) -> None:
        """Return limit, settled tokens and grants of all budgets."""
        self.respond(self.unwrap(await self.backend.budgets.list_budgets()))


class BudgetHandler(OperatorHandler):
    """`/budgets/NAME`."""

    async def get(self, budget: str) -> None:
        """Return limit, settled tokens and grants of one budget."""
        self.respond(self.unwrap(await self.backend.budgets.read_budget(budget)))

    async def post(self, budget: str) -> None:
        """Create a budget with a limit in tokens."""
        body = self.read_body(LimitBody)
        created = await self.backend.budgets.create_budget(budget, body.limit, body.id)
        self.respond(self.unwrap(created), 201)


class BudgetLimitHandler(OperatorHandler):
    """`/budgets/NAME/limit`."""

    async def put(self, budget: str) -> None:
        """Lower the limit of a budget."""
        body = self.read_body(LimitBody)
        lowered = await self.backend.budgets.lower_limit(budget, body.limit, body.id)
        self.respond(self.unwrap(lowered))


class TopUpHandler(OperatorHandler):
    """`/budgets/NAME/top-ups`."""

    async def post(self, budget: str) -> None:
        """Add the tokens of a payment to the limit."""
        body = self.read_body(TopUpBody)
        raised = await self.backend.budgets.top_up(budget, body.tokens, body.id)
        self.respond(self.unwrap(raised), 201)


class GrantReleaseHandler(OperatorHandler):
    """`/budgets/NAME/grants/ID/release`."""

    async def post(self, budget: str, grant_id: str) -> None:
        """Return a terminated instance's grant to the budget.

        The instance may have spent the grant without a committed bill.
        """
        body = self.read_body(ReleaseBody)
        backend = self.backend.budgets
        self.respond(
            self.unwrap(await backend.release_grant(budget, grant_id, body.id))
        )


class QuarantineListHandler(OperatorHandler):
    """`/quarantine`."""

    async def get(self) -> None:
        """Return the quarantined request fingerprints."""
        self.respond(await self.backend.state.list_quarantined())


class QuarantineHandler(OperatorHandler):
    """`/quarantine/FINGERPRINT`."""

    async def delete(self, fingerprint: str) -> None:
        """Release a fingerprint from quarantine on all daemons."""
        if not await self.backend.state.release_quarantined(fingerprint):
            message = f"fingerprint {fingerprint} is not in quarantine on this daemon"
            self.refuse(OperatorFault(FaultKind.NOT_FOUND, message))
        self.respond({"released": fingerprint})


class TargetsHandler(OperatorHandler):
    """`/targets`."""

    async def get(self) -> None:
        """Return the targets with their state and load on this daemon."""
        self.respond(await self.backend.state.list_targets())


class ExplanationHandler(OperatorHandler):
    """`/explain/REQUEST_ID`."""

    async def get(self, request_id: str) -> None:
        """Return the outcome of each arrival of a request at this daemon."""
        explanations = await self.backend.state.explain(request_id)
        if not explanations:
            message = (
                f"request {request_id} is unknown to this daemon or no longer kept"
            )
            self.refuse(OperatorFault(FaultKind.NOT_FOUND, message))
        self.respond(explanations)


class ClaimsHandler(OperatorHandler):
    """`/claims/ORGANISATION`."""

    async def get(self, organisation: str) -> None:
        """Return the first idempotency claims of an organisation, in key order."""
        claims = await self.backend.state.list_claims(organisation)
        self.respond(self.unwrap(claims))


class MetricsHandler(OperatorHandler):
    """`/metrics`."""

    async def get(self) -> None:
        """Return the metrics in the Prometheus exposition format."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(await self.backend.state.render_metrics())


class HealthHandler(OperatorHandler):
    """`/healthz`: liveness of the process."""

    requires_token = False

    def get(self) -> None:
        """Respond with status 200."""
        self.respond({"healthy": True})


class ReadyHandler(OperatorHandler):
    """`/readyz`: readiness to accept requests of callers."""

    requires_token = False

    def get(self) -> None:
        """Respond with status 200 if the daemon accepts requests, else 503."""
        view = self.backend.state.check_ready()
        self.respond(view, 200 if view.ready else 503)
