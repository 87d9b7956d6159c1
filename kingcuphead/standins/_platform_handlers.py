"""HTTP handlers of the stand-in platform."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar

import msgspec
from tornado.web import HTTPError

from kingcuphead.standins._platform_faults import (
    Outage,
    PlatformSwitchesChange,
)
from kingcuphead.standins._platform_state import PlatformState
from kingcuphead.standins._serving import StandInHandler
from kingcuphead.storage import Row, TableCounts, wire


class TableContents(msgspec.Struct, frozen=True):
    """Response body of `GET /records`: the whole table and its counters."""

    #: All rows, sorted by key.
    rows: tuple[Row, ...]
    #: Numbers of operations served, by kind.
    counts: TableCounts


class PlatformHandler(StandInHandler):
    """Base class of the handlers of one service, which injects its faults."""

    #: Name of the service whose faults apply.
    service: ClassVar[str] = "table"

    def initialize(self, state: PlatformState) -> None:
        """Store the state, which all handlers share."""
        self.state = state

    async def execute_with_faults(self, operation: Callable[[], Any]) -> None:
        """Run an operation and send its result, subject to the service's faults."""
        faults = self.state.get_faults(self.service)
        await _sleep(faults.delay)
        match faults.outage:
            case Outage.REFUSE:
                raise HTTPError(wire.REFUSED_STATUS, reason="outage")
            case Outage.RESET:
                self.drop_connection()
                return
            case Outage.NONE:
                pass
        content = operation()
        await _sleep(faults.reply_delay)
        if self.state.consume_lost_reply(self.service):
            self.drop_connection()
            return
        self.send_result(content)

    def send_result(self, content: Any) -> None:
        """Finish the request with the result of its operation."""
        self.send_json(content)


class CommitHandler(PlatformHandler):
    """Endpoint for transactions."""

    async def post(self) -> None:
        """Commit a transaction if its checks hold."""
        transaction = wire.decode_transaction(self.decode_body(wire.CommitBody))
        commit = self.state.table.commit_now
        await self.execute_with_faults(lambda: wire.encode_outcome(commit(transaction)))


class ReadHandler(PlatformHandler):
    """Endpoint that reads rows by key."""

    async def post(self) -> None:
        """Read rows atomically."""
        keys = self.decode_body(wire.ReadBody).keys
        await self.execute_with_faults(
            lambda: wire.RowsReply(self.state.table.read_now(keys))
        )


class ScanHandler(PlatformHandler):
    """Endpoint that scans rows by key prefix."""

    async def post(self) -> None:
        """Return one page of rows."""
        body = self.decode_body(wire.ScanBody)
        scan = self.state.table.scan_now
        await self.execute_with_faults(
            lambda: scan(body.prefix, body.after, body.limit)
        )


class ObjectHandler(PlatformHandler):
    """Endpoint that stores and fetches objects by name."""

    service = "objects"

    async def put(self, name: str) -> None:
        """Store an object."""
        content = self.request.body
        await self.execute_with_faults(
            lambda: self.state.objects.update({name: content})
        )

    async def get(self, name: str) -> None:
        """Fetch an object."""
        await self.execute_with_faults(lambda: self.state.objects.get(name))

    def send_result(self, content: bytes | None) -> None:
        """Finish with the object's bytes, or with HTTP 404 if there is none."""
        if self.request.method == "PUT":
            self.send_json(None)
        elif content is None:
            raise HTTPError(404)
        else:
            self.set_header("Content-Type", "application/octet-stream")
            self.finish(content)


class InstancesHandler(PlatformHandler):
    """Endpoint that returns the instance list and lets tests change it."""

    service = "instances"

    async def get(self) -> None:
        """Return the instances that are visible after the lag."""
        view = self.state.instances.view
        await self.execute_with_faults(
            lambda: wire.InstancesReply(view(time.monotonic()))
        )

    def post(self) -> None:
        """Add or replace instances; not subject to faults."""
        for instance in self.decode_body(wire.InstancesReply).instances:
            self.state.instances.update(instance, time.monotonic())
        self.send_json(None)


class SwitchesHandler(StandInHandler):
    """Endpoint that reads and sets the fault switches."""

    def initialize(self, state: PlatformState) -> None:
        """Store the state, which all handlers share."""
        self.state = state

    def get(self) -> None:
        """Return the switches."""
        self.send_json(self.state.switches)

    def post(self) -> None:
        """Update the switches; omitted ones stay unchanged."""
        change = self.decode_body(PlatformSwitchesChange)
        self.state.change_switches(change, time.monotonic())
        self.send_json(self.state.switches)


class RecordsHandler(StandInHandler):
    """Endpoint for the whole table and its counters; not subject to faults."""

    def initialize(self, state: PlatformState) -> None:
        """Store the state, which all handlers share."""
        self.state = state

    def get(self) -> None:
        """Return the table."""
        table = self.state.table
        self.send_json(TableContents(table.rows, table.counts))


def _sleep(seconds: float) -> Awaitable[None]:
    return asyncio.sleep(seconds)
