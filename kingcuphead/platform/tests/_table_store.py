"""A stand-in for the platform's store: tables with versions and a feed of changes."""

import asyncio
import contextlib
import json
from collections import Counter

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

ABSENT = {"ver": 0, "value": "", "removed": True}


class TableStore:
    """Rows of all tables, and the changes in commit order.

    Attributes
    ----------
    delay
        Seconds before each reply.
    refused_tables
        Tables whose calls are refused with 503; None refuses all calls.
    calls
        Number of calls by method and table.
    """

    def __init__(self):
        self.delay = 0.0
        self.refused_tables: frozenset[str] | None = frozenset()
        self.calls: Counter[tuple[str, str]] = Counter()
        self.rows = {}
        self.changes = []
        self.version = 0
        self._changed = asyncio.Event()

    def put(self, table, part, key, value):
        """Write a row; `value` is base64, None removes the row."""
        self.version += 1
        self._write(table, part, key, value)

    def apply(self, writes):
        """Write several rows, which get the same version."""
        self.version += 1
        for write in writes:
            self._write(*write)

    def _write(self, table, part, key, value):
        scope = {"table": table, "part": part, "key": key}
        content = {"value": "", "removed": True} if value is None else {"value": value}
        row = {**scope, "ver": self.version, **content}
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = row
        self.changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def list_rows(self, table, part, first="", after_last=""):
        """Return the rows of a range of keys, in order."""
        return [
            row
            for (row_table, row_part, key), row in sorted(self.rows.items())
            if (row_table, row_part) == (table, part)
            and first <= key
            and (not after_last or key < after_last)
        ]

    async def wait_for_changes(self, table, version, seconds):
        """Return the changes of a table after a version, once there are any."""
        deadline = asyncio.get_running_loop().time() + seconds
        while True:
            changed = self._changed
            changes = [
                row
                for row in self.changes
                if row["table"] == table and row["ver"] > version
            ]
            remaining = deadline - asyncio.get_running_loop().time()
            if changes or remaining <= 0:
                return changes
            # The reply has the version of a change at the end of the wait, so that too.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), remaining)

    def find(self, row):
        """Return the stored row that another one names."""
        return self.rows.get((row["table"], row["part"], row["key"]), ABSENT)

    def serve(self, sock):
        """Start the HTTP server and return it."""
        handlers = [
            ("/api/rows-get", _GetHandler, {"store": self}),
            ("/api/rows-feed", _FeedHandler, {"store": self}),
            ("/api/rows-tx", _TransactionHandler, {"store": self}),
        ]
        server = HTTPServer(
            Application(handlers, log_function=lambda handler: None),
        )
        server.add_socket(sock)
        return server


class _StoreHandler(RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        table = self.get_argument("table", "") or self._find_written_table()
        self.store.calls[self.request.method, table] += 1
        await asyncio.sleep(self.store.delay)
        refused = self.store.refused_tables
        if refused is None or table in refused:
            self.set_status(503)
            self.finish()

    def _find_written_table(self):
        call = json.loads(self.request.body)
        rows = (*call["expect"], *call["puts"], *call["remove"])
        return rows[0]["table"] if rows else ""

    def reply(self, **fields):
        now = int(asyncio.get_running_loop().time() * 1000)
        self.write({"ver": self.store.version, "now_ms": now, **fields})


class _GetHandler(_StoreHandler):
    def get(self):
        names = ("table", "part", "from", "to")
        rows = self.store.list_rows(*(self.get_argument(name, "") for name in names))
        self.reply(rows=rows)


class _FeedHandler(_StoreHandler):
    async def get(self):
        version = int(self.get_argument("start_after"))
        seconds = int(self.get_argument("wait_ms")) / 1000
        table = self.get_argument("table")
        self.reply(rows=await self.store.wait_for_changes(table, version, seconds))


class _TransactionHandler(_StoreHandler):
    def post(self):
        call = json.loads(self.request.body)
        current = [self.store.find(row) for row in call["expect"]]
        expected = [row["ver"] for row in call["expect"]]
        if [row["ver"] for row in current] != expected:
            self.set_status(412)
            self.reply(rows=[row for row in current if row["ver"]])
            return
        writes = [*call["puts"], *call["remove"]]
        self.store.apply(
            (row["table"], row["part"], row["key"], row.get("value")) for row in writes
        )
        self.reply()
