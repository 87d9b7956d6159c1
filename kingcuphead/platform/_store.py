"""Client of the platform's store: transactions, range reads and change feeds."""

import asyncio
import time
from collections.abc import Callable, Mapping

from expression import Error, Ok, Result
from loguru import logger

from kingcuphead.capacity import LINK_TRAFFIC, MESSAGE_OVERHEAD_BYTES
from kingcuphead.platform._store_clock import StoreClock
from kingcuphead.platform._store_codec import (
    GONE,
    OK,
    PRECONDITION_FAILED,
    REFUSING_STATUSES,
    Changes,
    HistoryLost,
    decode_era,
    decode_outcome,
    decode_page,
    decode_time,
    encode_transaction,
    iterate_rows,
    make_changes,
)
from kingcuphead.storage import (
    CommitOutcome,
    Exchange,
    KeptConnection,
    NotSent,
    PendingCall,
    PendingCalls,
    PlatformConnection,
    PlatformFault,
    PlatformSettings,
    Replied,
    ReplyLost,
    RowSnapshot,
    Transaction,
    Unavailable,
    Unknown,
)

#: Table that holds the operator's configuration.
CONFIGURATION_TABLE = "op"
#: Key of the configuration row in that table.
CONFIGURATION_KEY = "config"
#: Table that holds one entry per target.
TARGETS_TABLE = "servers"
#: Appended to a prefix, sorts after every key with that prefix.
_AFTER_ALL_KEYS = "\x7f"
#: Seconds beyond the wait of a long poll until its reply must have begun.
POLL_TIMEOUT_MARGIN = 1.0
#: Request timeout of all other calls, in seconds.
CALL_TIMEOUT = 2.0
#: Timeout for opening a connection to the store, in seconds.
CONNECT_TIMEOUT = 1.0


class Store:
    """Client of the platform's store.

    Parameters
    ----------
    address
        IP address and port.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = PlatformConnection(_make_settings(address))
        #: Connections that no poll uses at the moment, by table.
        self._idle_polls: dict[str, KeptConnection] = {}
        self._clock = StoreClock()
        self._pending = PendingCalls()
        self._era: int | None = None
        #: Called with the era of a reply if it is later than those of earlier replies.
        self.report_era: Callable[[int], None] | None = None

    def change_address(self, address: str) -> None:
        """Send further calls to another address; calls in flight may still complete."""
        if address != self._address:
            self._address = address
            self.close()
            self._connection = PlatformConnection(_make_settings(address))

    async def read_table(
        self, table: str, part: str = "", prefix: str = ""
    ) -> Result[RowSnapshot, PlatformFault]:
        """Read the rows of one part of a table whose keys have a prefix.

        Parameters
        ----------
        table
            Name of the table.
        part
            Name of the part.
        prefix
            Prefix of the keys; empty for all rows.
        """
        query = {"table": table, "part": part, "from": prefix}
        if prefix:
            query["to"] = prefix + _AFTER_ALL_KEYS
        snapshot: RowSnapshot | None = None
        while True:
            reply = await self._exchange("GET", "/api/rows-get", None, query)
            page = decode_page("read", reply)
            if page.is_error() or not isinstance(reply, Replied):
                return Error(page.error)
            era = decode_era(reply)
            self._clock.record_read(page.ok.now_ms, era)
            rows = tuple(iterate_rows(page.ok))
            size = len(reply.body)
            if snapshot is None:
                snapshot = RowSnapshot(rows, page.ok.ver, era, size)
            elif snapshot.era != era:
                return Error(PlatformFault("read", "the store was restored meanwhile"))
            else:
                snapshot = RowSnapshot(
                    snapshot.rows + rows, snapshot.version, era, snapshot.size + size
                )
            if not page.ok.has_more or not page.ok.rows:
                return Ok(snapshot)
            query["from"] = page.ok.rows[-1].key + "\0"

    def estimate_time(self) -> int | None:
        """Return a lower bound of the store's time in milliseconds; None if unknown."""
        return self._clock.estimate_time()

    async def follow_table(
        self,
        table: str,
        version: int,
        wait: float,
        report_begin: Callable[[], None] = lambda: None,
    ) -> Result[Changes | HistoryLost, PlatformFault]:
        """Long-poll the changes of a table after a version.

        Parameters
        ----------
        table
            Name of the table.
        version
            Last version that the caller has received.
        wait
            Maximum time in seconds to wait for a change.
        report_begin
            Called when the reply begins to arrive.
        """
        query = {
            "table": table,
            "start_after": str(version),
            "wait_ms": str(int(wait * 1000)),
        }
        timeout = wait + POLL_TIMEOUT_MARGIN
        reply = await self._poll(table, query, timeout, report_begin)
        if not isinstance(reply, Replied):
            return Error(decode_page("follow", reply).error)
        if reply.status == GONE:
            return Ok(HistoryLost())
        era = decode_era(reply)
        size = len(reply.body)
        return decode_page("follow", reply).map(
            lambda page: make_changes(page, era, size)
        )

    async def commit(
        self, table: str, part: str, transaction: Transaction
    ) -> CommitOutcome:
        """Apply a transaction to one part of a table."""
        body = encode_transaction(table, part, transaction)
        sent_at = time.monotonic()
        reply = await self._exchange("POST", "/api/rows-tx", body)
        match reply:
            case Replied(status) if status in (OK, PRECONDITION_FAILED):
                store_time = decode_time(reply.body)
                self._clock.record_commit(store_time, sent_at, decode_era(reply))
                return decode_outcome(reply)
            case NotSent():
                return Unavailable()
            case Replied(status) if status in REFUSING_STATUSES:
                return Unavailable()
            # No other reply proves that the transaction had no effect.
            case Replied() | ReplyLost():
                return Unknown()

    def bound_time(self, moment: float) -> int | None:
        """Return an upper bound of the store's time; see `StoreClock.bound_time`."""
        return self._clock.bound_time(moment)

    def close(self) -> None:
        """Close the connections to the store; calls in flight may still complete."""
        self._connection.close()
        for connection in self._idle_polls.values():
            connection.close()
        self._idle_polls.clear()

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        query: Mapping[str, str] | None = None,
        timeout: float | None = None,
    ) -> Exchange:
        """Call the store; report a new era before the reply is used."""
        call = PendingCall(time.monotonic(), asyncio.get_running_loop().create_future())
        exchange = asyncio.ensure_future(
            self._connection.exchange(method, path, body, query, timeout)
        )
        self._pending.begin(call)
        try:
            await asyncio.wait(
                (exchange, call.lost), return_when=asyncio.FIRST_COMPLETED
            )
            reply = exchange.result() if exchange.done() else _give_up(body)
        finally:
            self._pending.end(call)
            exchange.cancel()
        self._record_exchange(body or b"", reply, call.sent_at)
        return reply

    async def _poll(
        self,
        table: str,
        query: Mapping[str, str],
        timeout: float,
        report_begin: Callable[[], None],
    ) -> Exchange:
        """Send a long poll on the connection that the last one of the table left."""
        connection = self._idle_polls.pop(table, None)
        if connection is None:
            connection = KeptConnection(_make_settings(self._address))
        address = self._address
        sent_at = time.monotonic()
        reply = await connection.get("/api/rows-feed", query, timeout, report_begin)
        if address == self._address and table not in self._idle_polls:
            self._idle_polls[table] = connection
        else:
            connection.close()
        self._record_exchange(b"", reply, sent_at)
        return reply

    def _record_exchange(self, body: bytes, reply: Exchange, sent_at: float) -> None:
        LINK_TRAFFIC.store.record_sent(len(body) + MESSAGE_OVERHEAD_BYTES)
        if isinstance(reply, Replied):
            LINK_TRAFFIC.store.record_received(len(reply.body) + MESSAGE_OVERHEAD_BYTES)
            self._record_era(decode_era(reply))
            self._give_up_lost_calls(sent_at)

    def _give_up_lost_calls(self, sent_at: float) -> None:
        """End the calls that an outage of the store has lost, so they are repeated."""
        now = time.monotonic()
        lost = tuple(self._pending.record_reply(sent_at, now))
        for call in lost:
            call.lost.set_result(None)
            self._pending.end(call)
        if lost:
            logger.info("the store answers again; repeating {} lost calls", len(lost))

    def _record_era(self, era: int) -> None:
        previous = self._era
        self._era = era if previous is None else max(era, previous)
        if previous is None or era <= previous:
            return
        logger.warning("the store was restored: era {} after {}", era, previous)
        if self.report_era is not None:
            self.report_era(era)


class StoreTable:
    """One part of a table of the store, for the state machines that commit to it.

    Parameters
    ----------
    store
        Client of the store.
    table
        Name of the table.
    part
        Name of the part.
    """

    def __init__(self, store: Store, table: str, part: str) -> None:
        self._store = store
        self._table = table
        self._part = part

    async def read_prefix(self, prefix: str) -> Result[RowSnapshot, PlatformFault]:
        """Read the rows whose keys have a prefix."""
        return await self._store.read_table(self._table, self._part, prefix)

    def estimate_time(self) -> int | None:
        """Return a lower bound on the store's time; see `Store.estimate_time`."""
        return self._store.estimate_time()

    def bound_time(self, moment: float) -> int | None:
        """Return an upper bound on the store's time; see `Store.bound_time`."""
        return self._store.bound_time(moment)

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Apply a transaction; never raises for a store fault."""
        return await self._store.commit(self._table, self._part, transaction)


def _give_up(body: bytes | None) -> NotSent | ReplyLost:
    """Return the result of a call whose reply is no longer awaited."""
    cause = "no reply, while the store answered later calls"
    return NotSent(cause) if body is None else ReplyLost(cause)


def _make_settings(address: str) -> PlatformSettings:
    return PlatformSettings(
        url=f"http://{address}",
        connect_timeout=CONNECT_TIMEOUT,
        request_timeout=CALL_TIMEOUT,
        content_type="application/json",
    )
