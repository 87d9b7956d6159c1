"""Shares the quarantine with the other daemons and keeps it in the platform's store."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Sequence
from typing import TypeAlias

from expression import Result
from loguru import logger

from kingcuphead.quarantine._messages import (
    AnswersReported,
    Crash,
    CrashReported,
    FingerprintQuarantined,
    FingerprintReleased,
    QuarantineEffect,
    QuarantineReported,
)
from kingcuphead.quarantine._quarantine import Quarantine
from kingcuphead.quarantine._rows import decode_rows, encode_row
from kingcuphead.quarantine._settings import QuarantineSettings
from kingcuphead.storage import (
    Put,
    RowSnapshot,
    TablePart,
    Transaction,
    make_removal,
)

#: Seconds between two reports of all quarantined fingerprints to other daemons.
REPORT_INTERVAL = 1.0
#: Maximum number of fingerprints in one report, so that it fits into a datagram.
MAX_REPORTED = 40
#: Seconds between two reads of the quarantine table.
READ_INTERVAL = 5.0

#: Messages that the daemons of a fleet exchange.
QuarantineMessage: TypeAlias = CrashReported | AnswersReported | QuarantineReported


class QuarantineExchange:
    """Applies crashes and answers of this daemon and of the others.

    Parameters
    ----------
    identity
        Identity of this daemon's process.
    settings
        Thresholds and retention times.
    table
        Keeps the quarantined fingerprints while no daemon runs.
    broadcast
        Sends a message to all other daemons, unacknowledged.
    gossip
        Sends a message to some of the other daemons, unacknowledged.
    get_time
        Returns the time in seconds; None for the clock of the running event loop.
    """

    def __init__(
        self,
        identity: str,
        settings: QuarantineSettings,
        table: TablePart,
        broadcast: Callable[[QuarantineMessage], None],
        gossip: Callable[[QuarantineMessage], None],
        get_time: Callable[[], float] | None = None,
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._quarantine = Quarantine(settings)
        self._table = table
        self._broadcast = broadcast
        self._gossip = gossip
        self._get_time = get_time or _get_loop_time
        self._unsaved = asyncio.Event()

    @property
    def is_unsaved(self) -> bool:
        """Whether a fingerprint was quarantined since the last `synchronise`."""
        return self._unsaved.is_set()

    def get_remaining(self, fingerprint: str) -> float:
        """Return the seconds until a fingerprint's quarantine ends; 0 without one."""
        return self._quarantine.get_remaining(fingerprint, self._get_time())

    def record_crash(
        self, fingerprint: str, target: str, running_seconds: float
    ) -> None:
        """Record that the connection to a target broke under a request.

        Parameters
        ----------
        fingerprint
            Fingerprint of the request.
        target
            Incarnation of the target.
        running_seconds
            Seconds since the first event of the answer; 0 if there was none.
        """
        now = self._get_time()
        answers = self._quarantine.count_answers(fingerprint, now)
        logger.bind(fingerprint=fingerprint, target=target, answers=answers).info(
            "target lost under a request"
        )
        is_early = running_seconds < self._settings.early_phase
        crash = Crash(fingerprint, target, is_early)
        self._publish(self._quarantine.record_crash(crash, now))

    def record_answer(self, fingerprint: str) -> None:
        """Record a complete answer of a target."""
        now = self._get_time()
        self._quarantine.record_answer(fingerprint, now)
        if self._quarantine.needs_answers(fingerprint, now):
            self._broadcast(self._make_report(fingerprint))

    def handle_message(
        self, message: QuarantineMessage, reply: Callable[[QuarantineMessage], None]
    ) -> None:
        """Apply a message of another daemon; `reply` sends an answer to it."""
        now = self._get_time()
        match message:
            case CrashReported(fingerprint, target):
                if self._quarantine.count_answers(fingerprint, now):
                    reply(self._make_report(fingerprint))
                self._publish(
                    self._quarantine.apply_peer_crash(fingerprint, target, now)
                )
            case AnswersReported():
                self._apply_answers(message)
            case QuarantineReported(entries):
                self._apply_entries(entries)

    async def run(self) -> None:
        """Report and save the quarantine until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._report_repeatedly())
            tasks.create_task(self._synchronise_repeatedly())

    async def _report_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            self.report()

    async def _synchronise_repeatedly(self) -> None:
        while True:
            await self.synchronise()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(READ_INTERVAL):
                    await self._unsaved.wait()

    def _make_report(self, fingerprint: str) -> AnswersReported:
        answers = self._quarantine.count_answers(fingerprint, self._get_time())
        return AnswersReported(fingerprint, self._identity, answers)

    def _apply_answers(self, message: AnswersReported) -> None:
        """Count the answers of another daemon, also where this one spread a crash."""
        now = self._get_time()
        fingerprint = message.fingerprint
        is_useful = self._quarantine.needs_answers(fingerprint, now)
        is_new = self._quarantine.apply_peer_answers(
            fingerprint, message.reporter, message.answers, now
        )
        if is_new and is_useful and self._quarantine.has_own_crash(fingerprint):
            self._broadcast(message)

    def _publish(self, effects: Iterable[QuarantineEffect]) -> None:
        for effect in effects:
            match effect:
                case CrashReported():
                    self._broadcast(effect)
                case FingerprintQuarantined(fingerprint):
                    logger.bind(fingerprint=fingerprint).warning(
                        "request quarantined: it crashed several targets"
                    )
                    self._broadcast(QuarantineReported((effect,)))
                    self._unsaved.set()
                case FingerprintReleased():
                    # Only operators of the product's own interface release requests.
                    pass

    def report(self) -> None:
        """Drop what has expired, and report what is quarantined to other daemons.

        Reports are repeated, since datagrams are lost and daemons start anew.
        """
        self._publish(self._quarantine.tick(self._get_time()))
        entries = [
            FingerprintQuarantined(entry.fingerprint, entry.remaining)
            for entry in self._quarantine.describe(self._get_time())
        ]
        for start in range(0, len(entries), MAX_REPORTED):
            batch = tuple(entries[start : start + MAX_REPORTED])
            self._gossip(QuarantineReported(batch))

    def _apply_entries(self, entries: Iterable[FingerprintQuarantined]) -> None:
        now = self._get_time()
        for entry in entries:
            if not self._quarantine.is_quarantined(entry.fingerprint, now):
                logger.bind(fingerprint=entry.fingerprint).info(
                    "request quarantined by another daemon"
                )
            self._quarantine.apply_peer_quarantine(
                entry.fingerprint, entry.remaining, now
            )

    async def synchronise(self) -> None:
        """Apply the rows of the table, write those that it lacks, drop expired ones."""
        self._unsaved.clear()
        match await self._table.read_prefix(""):
            case Result(tag="ok", ok=snapshot):
                store_time = self._table.estimate_time()
            case Result(error=fault):
                logger.debug("cannot read the quarantine table: {}", fault.message)
                return
        if store_time is None:
            return
        entries = tuple(decode_rows(snapshot.rows, store_time))
        self._apply_entries(entry for entry in entries if entry.remaining > 0)
        expired = {entry.fingerprint for entry in entries if entry.remaining <= 0}
        await self._remove(snapshot, expired)
        await self._save(snapshot, store_time)

    async def _remove(self, snapshot: RowSnapshot, expired: set[str]) -> None:
        rows = [row for row in snapshot.rows if row.key in expired]
        if rows:
            await self._commit(make_removal(rows))

    async def _save(self, snapshot: RowSnapshot, store_time: int) -> None:
        """Write the rows of requests that crashed targets of this daemon."""
        saved = {row.key for row in snapshot.rows}
        missing = [
            entry
            for entry in self._quarantine.describe(self._get_time())
            if entry.has_own_crash and entry.fingerprint not in saved
        ]
        puts: Sequence[Put] = [
            Put(entry.fingerprint, encode_row(entry.remaining, store_time))
            for entry in missing
        ]
        if puts:
            await self._commit(Transaction((), tuple(puts)))

    async def _commit(self, transaction: Transaction) -> None:
        # A write that fails is repeated after the next read.
        outcome = await self._table.commit(transaction)
        logger.debug("write to the quarantine table: {}", type(outcome).__name__)


def _get_loop_time() -> float:
    return asyncio.get_running_loop().time()
