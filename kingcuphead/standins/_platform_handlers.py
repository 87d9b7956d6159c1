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
    """The whole table, with the operations that it has served."""

    #: Every row in key order.
    rows: tuple[Row, ...]
    #: Operations served.
    counts: TableCounts


class PlatformHandler(StandInHandler):
    """Handler of a service that shows the faults switched on for it."""

    #: Name of the service whose faults apply.
    service: ClassVar[str] = "table"

    def initialize(self, state: PlatformState) -> None:
        """Take the state shared by all handlers."""
        self.state = state

    async def perform(self, action: Callable[[], Any]) -> None:
        """Run an action and answer with its result, under the faults set."""
        faults = self.state.get_faults(self.service)
        await _pause(faults.delay)
        match faults.outage:
            case Outage.REFUSE:
                raise HTTPError(wire.REFUSED_STATUS, reason="outage")
            case Outage.RESET:
                self.drop_connection()
                return
            case Outage.NONE:
                pass
        content = action()
        await _pause(faults.reply_delay)
        if self.state.take_lost_reply(self.service):
            self.drop_connection()
            return
        self.answer_with(content)

    def answer_with(self, content: Any) -> None:
        """Finish the request with the result of its action."""
        self.answer(content)


class CommitHandler(PlatformHandler):
    """Transactions."""

    async def post(self) -> None:
        """Apply a transaction."""
        transaction = wire.decode_transaction(self.decode(wire.CommitBody))
        commit = self.state.table.commit_now
        await self.perform(lambda: wire.encode_outcome(commit(transaction)))


class ReadHandler(PlatformHandler):
    """Reads of named rows."""

    async def post(self) -> None:
        """Read rows at one moment."""
        keys = self.decode(wire.ReadBody).keys
        await self.perform(lambda: wire.RowsReply(self.state.table.read_now(keys)))


class ScanHandler(PlatformHandler):
    """Reads of rows by prefix."""

    async def post(self) -> None:
        """Read one page."""
        body = self.decode(wire.ScanBody)
        scan = self.state.table.scan_now
        await self.perform(lambda: scan(body.prefix, body.after, body.limit))


class ObjectHandler(PlatformHandler):
    """Objects by name."""

    service = "objects"

    async def put(self, name: str) -> None:
        """Store an object."""
        content = self.request.body
        await self.perform(lambda: self.state.objects.update({name: content}))

    async def get(self, name: str) -> None:
        """Fetch an object."""
        await self.perform(lambda: self.state.objects.get(name))

    def answer_with(self, content: bytes | None) -> None:
        """Finish with the object's bytes, or with status 404."""
        if self.request.method == "PUT":
            self.answer(None)
        elif content is None:
            raise HTTPError(404)
        else:
            self.set_header("Content-Type", "application/octet-stream")
            self.finish(content)


class InstancesHandler(PlatformHandler):
    """The instance list, and the control that changes it."""

    service = "instances"

    async def get(self) -> None:
        """Show the list with its lag."""
        view = self.state.instances.view
        await self.perform(lambda: wire.InstancesReply(view(time.monotonic())))

    def post(self) -> None:
        """Add instances or change their states; not subject to faults."""
        for instance in self.decode(wire.InstancesReply).instances:
            self.state.instances.update(instance, time.monotonic())
        self.answer(None)


class SwitchesHandler(StandInHandler):
    """The control of faults."""

    def initialize(self, state: PlatformState) -> None:
        """Take the state shared by all handlers."""
        self.state = state

    def get(self) -> None:
        """Show the switches."""
        self.answer(self.state.switches)

    def post(self) -> None:
        """Set some switches."""
        change = self.decode(PlatformSwitchesChange)
        self.state.change_switches(change, time.monotonic())
        self.answer(self.state.switches)


class RecordsHandler(StandInHandler):
    """The whole table and its counts, whatever faults are set."""

    def initialize(self, state: PlatformState) -> None:
        """Take the state shared by all handlers."""
        self.state = state

    def get(self) -> None:
        """Show the table."""
        table = self.state.table
        self.answer(TableContents(table.rows, table.counts))


def _pause(seconds: float) -> Awaitable[None]:
    return asyncio.sleep(seconds)
