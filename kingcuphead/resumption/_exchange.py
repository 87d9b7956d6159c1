"""Finds out which software version began a stream that a caller resumes."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Protocol

from expression import Result
from loguru import logger

from kingcuphead.resumption._history import VersionHistory
from kingcuphead.resumption._messages import (
    BegunStream,
    OriginSource,
    ResumptionMessage,
    ServedVersion,
    StreamAsked,
    StreamOrigin,
    StreamsBegan,
)
from kingcuphead.resumption._origin_store import OriginStore
from kingcuphead.resumption._registry import StreamRegistry
from kingcuphead.resumption._rows import decode_rows, encode_row, make_key
from kingcuphead.resumption._shared_read import SharedRead
from kingcuphead.storage import (
    Committed,
    RowSnapshot,
    TablePart,
    Transaction,
    make_removal,
)
from kingcuphead.targets import Target
from kingcuphead.timing import get_time, sleep_until_tick

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
#: Seconds to wait for an answer if the service has one version here. Only a daemon that
#: knows of a newer one could object.
OBJECTION_TIMEOUT = 0.05
#: Age in seconds from which on the view of the targets may lack a version. The store
#: answers the feed of entries at least once a second.
MAX_VIEW_AGE = 1.5
#: Bound in seconds on the search for the origin of a stream; one that isn't found by
#: then counts as unknown. A slow store answers in time, and callers have time left.
SEARCH_TIMEOUT = 1.0
#: Bound in seconds on reading the versions of all targets for callers that come back.
CONFIRMATION_TIMEOUT = 0.5
#: Seconds between two comparisons of the version table with what this daemon saw.
SYNCHRONISATION_INTERVAL = 30.0
#: Seconds before a comparison that failed is repeated.
RETRY_DELAY = 0.5


class TargetView(Protocol):
    """What a daemon knows of targets, and since when."""

    @property
    def store_failed_at(self) -> float:
        """Start of the last call to the store that failed, on the monotonic clock."""
        ...

    def list_all(self) -> Iterable[Target]:
        """Return the targets that have an entry."""
        ...

    def get_age(self) -> float:
        """Return the seconds since the store last told of the entries."""
        ...


class ResumptionExchange:
    """Shares the origins of streams with the other daemons.

    While a service has one software version, a stream can only have begun there. Once
    it has several, other daemons are told of each begun stream, so that it can go on
    although the daemon that began it was killed, and its origin is written to the
    store, in case all daemons are killed at once.

    Parameters
    ----------
    table
        Keeps the versions that served lately while no daemon runs.
    view
        The targets that this daemon knows.
    broadcast
        Sends a message to all other daemons, unacknowledged.
    gossip
        Sends a message to some of the other daemons, unacknowledged.
    origins
        Keeps the origins of streams while no daemon runs.
    read_served
        Reads the versions of all targets from the store, or returns None if it doesn't
        answer; without it, the view is taken for current.
    """

    def __init__(
        self,
        table: TablePart,
        view: TargetView,
        broadcast: Callable[[ResumptionMessage], None],
        gossip: Callable[[ResumptionMessage], None],
        origins: OriginStore,
        read_served: Callable[[], Awaitable[frozenset[ServedVersion] | None]]
        | None = None,
    ) -> None:
        self._table = table
        self._confirmation = (
            None if read_served is None else SharedRead(self._confirm_versions)
        )
        self._read_served = read_served
        #: Origins of streams that outlast the daemons.
        self.origins = origins
        #: Called with how each origin was found, or that it is unknown.
        self.report_search: Callable[[OriginSource], None] | None = None
        origins.report_read = self._apply_origins
        self._view = view
        self._broadcast = broadcast
        self._gossip = gossip
        self._registry = StreamRegistry()
        self._history = VersionHistory()
        self._saved: frozenset[ServedVersion] = frozenset()
        self._synchronised_at: float | None = None
        self._has_read_versions = asyncio.Event()
        self._unannounced: deque[BegunStream] = deque(maxlen=MAX_UNANNOUNCED)
        self._is_announcing = False
        self._waiting: dict[str, asyncio.Event] = {}

    def record_start(self, stream: BegunStream) -> None:
        """Record that a caller is about to get the first event of a stream."""
        now = get_time()
        self._registry.record(stream, now)
        version = ServedVersion(stream.service_name, stream.software_version)
        self._history.observe([version], now)
        self._unannounced.append(stream)
        self.origins.record(stream)
        self._schedule_announcement([stream.service_name])

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
        source = OriginSource.KNOWN
        if self._find(request_id) is None:
            source = await self._search(request_id, services)
        stream = self._find(request_id)
        if stream is not None:
            self._report_source(source)
            return StreamOrigin(stream.software_version, stream.service_name)
        only_version = None
        if self._has_read_versions.is_set() and await self._is_confirmed(request_id):
            only_version = self._find_only_version(services, bool(request_id))
        if only_version is None:
            self._report_source(OriginSource.UNKNOWN)
            return None
        self._report_source(OriginSource.ONLY_VERSION)
        return StreamOrigin(only_version)

    def handle_message(
        self, message: ResumptionMessage, reply: Callable[[StreamsBegan], None]
    ) -> None:
        """Apply a message of another daemon; `reply` sends the answer to it."""
        match message:
            case StreamsBegan(streams):
                for stream in streams:
                    self._registry.record(stream, get_time())
                    waiting = self._waiting.get(stream.request_id)
                    if waiting is not None:
                        waiting.set()
            case StreamAsked(request_id):
                known = self._find(request_id)
                if known is not None:
                    reply(StreamsBegan((known,)))

    async def run(self) -> None:
        """Keep the tables up to date until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._synchronise_repeatedly())
            tasks.create_task(self._save_repeatedly())

    async def _save_repeatedly(self) -> None:
        """Write the origins of streams while their services have several versions."""
        await self._has_read_versions.wait()
        while True:
            await self._read_origins_once()
            await self.origins.save(
                name
                for name in self.origins.list_services()
                if self._has_several_versions([name])
            )
            await self.origins.remove_expired()
            await sleep_until_tick(self.origins.write_interval)

    async def _read_origins_once(self) -> None:
        if not self.origins.has_read:
            await self.origins.read()

    async def _synchronise_repeatedly(self) -> None:
        while True:
            self._observe()
            services = {stream.service_name for stream in self._unannounced}
            self._schedule_announcement(services)
            self._registry.expire(get_time())
            if self._is_synchronisation_due():
                await self.synchronise()
            await sleep_until_tick(RETRY_DELAY)

    async def synchronise(self) -> None:
        """Load the version table, write what it lacks and remove what is gone.

        A call that fails is repeated later.
        """
        self._observe()
        started_at = get_time()
        _, reply = await asyncio.gather(
            self._read_origins_once(), self._table.read_prefix("")
        )
        match reply:
            case Result(tag="ok", ok=snapshot):
                stored = frozenset(decode_rows(snapshot.rows))
            case Result(error=fault):
                logger.debug("cannot read the version table: {}", fault.message)
                return
        if not self._is_continuous:
            # Any of them may have served until now, unseen by this daemon.
            self._history.observe(stored, get_time())
        # Another daemon may have seen a target whose entry never arrived here.
        self._history.add_missing(stored, get_time())
        self._synchronised_at = started_at
        self._has_read_versions.set()
        recent = frozenset(self._history.list_recent(get_time()))
        puts = tuple(encode_row(version) for version in recent - stored)
        is_saved = not puts or await self._commit(Transaction((), puts))
        # After a failed write, the versions not counted as saved are written again.
        self._saved = recent if is_saved else recent & stored
        await self._remove(snapshot, stored - recent)

    @property
    def _is_continuous(self) -> bool:
        """Whether no call to the store failed since the table was read."""
        return (
            self._synchronised_at is not None
            and self._synchronised_at > self._view.store_failed_at
        )

    def _is_synchronisation_due(self) -> bool:
        if self._synchronised_at is None or not self._is_continuous:
            return True
        recent = frozenset(self._history.list_recent(get_time()))
        age = get_time() - self._synchronised_at
        return recent != self._saved or age >= SYNCHRONISATION_INTERVAL

    async def _remove(
        self, snapshot: RowSnapshot, gone: Collection[ServedVersion]
    ) -> None:
        keys = {make_key(version) for version in gone}
        rows = [row for row in snapshot.rows if row.key in keys]
        if rows:
            await self._commit(make_removal(rows))

    async def _commit(self, transaction: Transaction) -> bool:
        outcome = await self._table.commit(transaction)
        logger.debug("write to the version table: {}", type(outcome).__name__)
        return isinstance(outcome, Committed)

    def _observe(self) -> None:
        # Many targets serve the same few versions.
        names = {
            (target.service, target.software_version)
            for target in self._view.list_all()
        }
        versions = (ServedVersion(*each) for each in names)
        self._history.observe(versions, get_time())

    def _find_only_version(
        self, services: Collection[str], is_named: bool
    ) -> str | None:
        """Return the version of some services if there was just one.

        Callers that name the try that began their stream know of versions, so that it
        has to be certain for them. For other callers the versions that this daemon has
        read and seen since its start are enough.
        """
        self._observe()
        is_current = self._view.get_age() <= MAX_VIEW_AGE and self._is_continuous
        if is_named and not is_current:
            return None
        return self._history.find_only_version(services, get_time())

    async def _is_confirmed(self, request_id: str) -> bool:
        """Whether the versions of all targets were read since a caller came back.

        A target registers before it begins a stream, so that the read shows its
        version. How old the view is doesn't suffice: it may be a moment too old, or its
        last reply may have arrived late. Callers that name no try get what is known.
        """
        if not request_id or self._confirmation is None:
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRMATION_TIMEOUT):
                return await self._confirmation.run()
        return False

    async def _confirm_versions(self) -> bool:
        """Read which versions serve, and which did; return whether that succeeded."""
        if self._read_served is None:
            return False
        served, reply = await asyncio.gather(
            self._read_served(), self._table.read_prefix("")
        )
        if served is None or reply.is_error():
            return False
        self._history.observe(served, get_time())
        self._history.add_missing(decode_rows(reply.ok.rows), get_time())
        return True

    def _has_several_versions(self, services: Iterable[str]) -> bool:
        """Whether any of some services lately had more than one version."""
        now = get_time()
        return any(
            len(self._history.list_versions([name], now)) > 1 for name in services
        )

    def _find(self, request_id: str) -> BegunStream | None:
        return self._registry.find(request_id) or self.origins.find(request_id)

    async def _search(self, request_id: str, services: Collection[str]) -> OriginSource:
        """Search for a stream for a bounded time; return which source supplied it.

        Other daemons are asked first. If they don't know it, the store is read. The
        first read after the start may complete while they are asked; if it contains the
        stream, their answers are no longer awaited. The result is meaningful only if
        the stream was found.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SEARCH_TIMEOUT):
                await self._has_read_versions.wait()
                if request_id:
                    await self._ask(request_id, services)
                    if self._find(request_id) is None and self._has_several_versions(
                        services
                    ):
                        await self.origins.read()
        is_from_peer = self._registry.find(request_id) is not None
        return OriginSource.PEER if is_from_peer else OriginSource.STORE

    def _apply_origins(self) -> None:
        """Apply the origins that were just read.

        Their versions count as served, because the row of a version may be missing
        although that of a stream was written. Queries to other daemons for streams that
        the read has found end.
        """
        self._history.add_missing(self.origins.list_versions(), get_time())
        for request_id, answered in self._waiting.items():
            if self.origins.find(request_id) is not None:
                answered.set()

    def _report_source(self, source: OriginSource) -> None:
        if self.report_search is not None:
            self.report_search(source)

    def _schedule_announcement(self, services: Collection[str]) -> None:
        """Announce soon what other daemons weren't told, if it may matter to them."""
        if self._is_announcing or not self._unannounced:
            return
        if self._history.find_only_version(services, get_time()) is None:
            self._is_announcing = True
            asyncio.get_running_loop().call_later(ANNOUNCEMENT_DELAY, self._announce)

    def _announce(self) -> None:
        self._is_announcing = False
        streams = tuple(self._unannounced)
        self._unannounced.clear()
        for start in range(0, len(streams), MAX_ANNOUNCED):
            self._gossip(StreamsBegan(streams[start : start + MAX_ANNOUNCED]))

    async def _ask(self, request_id: str, services: Collection[str]) -> None:
        """Ask all other daemons for a stream until one of them answers."""
        answered = self._waiting.setdefault(request_id, asyncio.Event())
        try:
            for _ in range(MAX_QUESTIONS):
                self._broadcast(StreamAsked(request_id))
                only_version = self._find_only_version(services, is_named=True)
                is_certain = only_version is not None
                timeout = OBJECTION_TIMEOUT if is_certain else ASK_INTERVAL
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(answered.wait(), timeout)
                if is_certain or answered.is_set():
                    return
        finally:
            self._waiting.pop(request_id, None)
