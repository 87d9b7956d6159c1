"""Shares the quarantine with the other daemons and keeps it in the platform's store."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import TypeAlias

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
from kingcuphead.quarantine._settings import QuarantineSettings
from kingcuphead.quarantine._table import QuarantineTable
from kingcuphead.storage import TablePart

#: Seconds between two reports of all quarantined fingerprints to other daemons.
REPORT_INTERVAL = 1.0
#: Maximum number of fingerprints in one report, so that it fits into a datagram.
MAX_REPORTED = 40
#: Seconds between two reads of the quarantine table.
READ_INTERVAL = 5.0
#: Seconds after a crash or a quarantine until it is written; other requests that the
#: same target ran are written with it.
SAVE_DELAY = 0.1

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
        Keeps crashes and quarantined fingerprints while no daemon runs.
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
        self._table = QuarantineTable(table)
        self._broadcast = broadcast
        self._gossip = gossip
        self._get_time = get_time or _get_loop_time
        self._unsaved = asyncio.Event()

    @property
    def is_unsaved(self) -> bool:
        """Whether there was a crash or a quarantine since the last `synchronise`."""
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
                    await asyncio.sleep(SAVE_DELAY)

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
                    self._unsaved.set()
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
        rows = await self._table.read()
        if rows is None:
            return
        now = self._get_time()
        self._apply_entries(rows.quarantined)
        for crash in rows.crashes:
            self._publish(
                self._quarantine.apply_peer_crash(
                    crash.fingerprint, crash.target, now, crash.age
                )
            )
        await self._table.save(
            rows,
            [each for each in self._quarantine.describe(now) if each.has_own_crash],
            self._quarantine.list_own_crashes(now),
        )


def _get_loop_time() -> float:
    return asyncio.get_running_loop().time()
