"""Finds out which software version began a stream that a caller takes up again."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Collection, Iterable

from expression import Result
from loguru import logger

from kingcuphead.resumption._history import VersionHistory
from kingcuphead.resumption._messages import (
    BegunStream,
    ResumptionMessage,
    ServedVersion,
    StreamAsked,
    StreamOrigin,
    StreamsBegan,
)
from kingcuphead.resumption._registry import StreamRegistry
from kingcuphead.resumption._rows import decode_rows, encode_row, make_key
from kingcuphead.storage import Check, Delete, RowSnapshot, TablePart, Transaction

#: Seconds for which begun streams are collected before other daemons are told.
ANNOUNCEMENT_DELAY = 0.02
#: Begun streams that are kept to be told to other daemons once it may matter.
MAX_UNANNOUNCED = 2_000
#: Maximum number of streams in one announcement, so that it fits into a datagram.
MAX_ANNOUNCED = 100
#: Seconds between two questions to the other daemons about one stream.
ASK_INTERVAL = 0.1
#: Number of questions after which a stream counts as unknown.
MAX_QUESTIONS = 3
#: Seconds between two comparisons of the version table with what this daemon saw.
SYNCHRONISATION_INTERVAL = 30.0
#: Seconds before a comparison that failed is repeated.
RETRY_DELAY = 0.5


class ResumptionExchange:
    """Shares the origins of streams with the other daemons.

    While a service has one software version, a stream can only have begun there, and
    nothing is sent. Once it has several, other daemons are told of each begun stream,
    so that it can go on although the daemon that began it was killed.

    Parameters
    ----------
    table
        Keeps the versions that served lately while no daemon runs.
    list_versions
        Returns the versions of all targets that this daemon knows.
    broadcast
        Sends a message to all other daemons, unacknowledged.
    gossip
        Sends a message to some of the other daemons, unacknowledged.
    """

    def __init__(
        self,
        table: TablePart,
        list_versions: Callable[[], Iterable[ServedVersion]],
        broadcast: Callable[[ResumptionMessage], None],
        gossip: Callable[[ResumptionMessage], None],
    ) -> None:
        self._table = table
        self._list_versions = list_versions
        self._broadcast = broadcast
        self._gossip = gossip
        self._registry = StreamRegistry()
        self._history = VersionHistory()
        self._saved: frozenset[ServedVersion] = frozenset()
        self._unannounced: deque[BegunStream] = deque(maxlen=MAX_UNANNOUNCED)
        self._is_announcing = False
        self._waiting: dict[str, asyncio.Event] = {}

    def record_start(self, stream: BegunStream) -> None:
        """Record that a caller is about to get the first event of a stream."""
        self._observe()
        now = _get_time()
        self._registry.record(stream, now)
        self._history.observe(
            [ServedVersion(stream.service_name, stream.software_version)], now
        )
        self._unannounced.append(stream)
        self._schedule_announcement()

    async def find_origin(
        self, request_id: str, services: Collection[str]
    ) -> StreamOrigin | None:
        """Return where a stream has to go on, or None if nobody knows.

        Parameters
        ----------
        request_id
            Id of the try that brought the first event; empty if the caller names none.
        services
            Services that the stream may have begun at.
        """
        self._observe()
        origin = self._find_known_origin(request_id, services)
        if origin is None and request_id:
            await self._ask(request_id)
            origin = self._find_known_origin(request_id, services)
        return origin

    def handle_message(
        self, message: ResumptionMessage, reply: Callable[[StreamsBegan], None]
    ) -> None:
        """Apply a message of another daemon; `reply` sends the answer to it."""
        match message:
            case StreamsBegan(streams):
                for stream in streams:
                    self._registry.record(stream, _get_time())
                    waiting = self._waiting.get(stream.request_id)
                    if waiting is not None:
                        waiting.set()
            case StreamAsked(request_id):
                known = self._registry.find(request_id)
                if known is not None:
                    reply(StreamsBegan((known,)))

    async def run(self) -> None:
        """Keep the version table up to date until cancelled."""
        synchronised_at = float("-inf")
        while True:
            self._observe()
            self._schedule_announcement()
            self._registry.expire(_get_time())
            age = _get_time() - synchronised_at
            recent = frozenset(self._history.list_recent(_get_time()))
            is_due = recent != self._saved or age >= SYNCHRONISATION_INTERVAL
            if is_due and await self.synchronise():
                synchronised_at = _get_time()
            await asyncio.sleep(RETRY_DELAY)

    async def synchronise(self) -> bool:
        """Load the version table, write what it lacks and remove what is gone.

        Returns
        -------
        bool
            Whether the table was read; a write that fails is repeated later.
        """
        self._observe()
        match await self._table.read_prefix(""):
            case Result(tag="ok", ok=snapshot):
                stored = frozenset(decode_rows(snapshot.rows))
            case Result(error=fault):
                logger.debug("cannot read the version table: {}", fault.message)
                return False
        self._history.load(stored, _get_time())
        recent = frozenset(self._history.list_recent(_get_time()))
        self._saved = recent
        puts = tuple(encode_row(version) for version in recent - stored)
        if puts:
            await self._commit(Transaction((), puts))
        await self._remove(snapshot, stored - recent)
        return True

    async def _remove(
        self, snapshot: RowSnapshot, gone: Collection[ServedVersion]
    ) -> None:
        keys = {make_key(version) for version in gone}
        rows = [row for row in snapshot.rows if row.key in keys]
        if rows:
            checks = tuple(Check(row.key, row.version) for row in rows)
            deletes = tuple(Delete(row.key) for row in rows)
            await self._commit(Transaction(checks, deletes))

    async def _commit(self, transaction: Transaction) -> None:
        outcome = await self._table.commit(transaction)
        logger.debug("write to the version table: {}", type(outcome).__name__)

    def _observe(self) -> None:
        self._history.observe(self._list_versions(), _get_time())

    def _find_known_origin(
        self, request_id: str, services: Collection[str]
    ) -> StreamOrigin | None:
        stream = self._registry.find(request_id)
        if stream is not None:
            return StreamOrigin(stream.software_version, stream.service_name)
        only_version = self._history.find_only_version(services, _get_time())
        return None if only_version is None else StreamOrigin(only_version)

    def _schedule_announcement(self) -> None:
        """Announce soon what other daemons weren't told, if it may matter to them."""
        if self._is_announcing or not self._unannounced:
            return
        services = {stream.service_name for stream in self._unannounced}
        if self._history.find_only_version(services, _get_time()) is None:
            self._is_announcing = True
            asyncio.get_running_loop().call_later(ANNOUNCEMENT_DELAY, self._announce)

    def _announce(self) -> None:
        self._is_announcing = False
        streams = tuple(self._unannounced)
        self._unannounced.clear()
        for start in range(0, len(streams), MAX_ANNOUNCED):
            self._gossip(StreamsBegan(streams[start : start + MAX_ANNOUNCED]))

    async def _ask(self, request_id: str) -> None:
        """Ask all other daemons for a stream until one of them answers."""
        answered = self._waiting.setdefault(request_id, asyncio.Event())
        try:
            for _ in range(MAX_QUESTIONS):
                self._broadcast(StreamAsked(request_id))
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(answered.wait(), ASK_INTERVAL)
                if answered.is_set():
                    return
        finally:
            self._waiting.pop(request_id, None)


def _get_time() -> float:
    return asyncio.get_running_loop().time()
