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
    PartsAccused,
    QuarantineEffect,
    QuarantineReported,
)
from kingcuphead.quarantine._quarantine import Quarantine
from kingcuphead.quarantine._settings import QuarantineSettings
from kingcuphead.quarantine._subjects import RequestIdentity, is_part, split_key
from kingcuphead.quarantine._table import QuarantineRows, QuarantineTable
from kingcuphead.quarantine._trials import TRIAL_DELAY, Trial, Trials
from kingcuphead.storage import TablePart
from kingcuphead.timing import sleep_until_tick

#: Seconds between two reports of all quarantined fingerprints to other daemons.
REPORT_INTERVAL = 1.0
#: Maximum number of fingerprints in one report, so that it fits into a datagram.
MAX_REPORTED = 40
#: Seconds between two reads of the quarantine table.
READ_INTERVAL = 5.0
#: Seconds after a crash, a verdict or an answer until it is written; other requests
#: that the same target ran are written with it.
SAVE_DELAY = 0.1

#: Seconds between an accusation of parts and the verdict, in which other daemons tell
#: of answers to them.
OBJECTION_PERIOD = 0.1

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
        self._trials = Trials()
        self._broadcast = broadcast
        self._gossip = gossip
        self._get_time = get_time or _get_loop_time
        self._unsaved = asyncio.Event()
        self._accused = asyncio.Event()

    @property
    def is_unsaved(self) -> bool:
        """Whether the table has to be read or written before the next regular time."""
        return self._unsaved.is_set()

    def get_remaining(self, request: RequestIdentity) -> float:
        """Return the seconds until the quarantine of a request ends; 0 without one."""
        return self._quarantine.get_remaining(request, self._get_time())

    def claim_trial(self, request: RequestIdentity) -> Trial | None:
        """Return a trial for a request that is quarantined by parts of its prompt.

        Without one, it is asked of the store, for requests that come later. Requests
        that are quarantined as a whole get none: only more answers than crashes would
        clear them, which are more trials than such a request may have.
        """
        now = self._get_time()
        keys = self._quarantine.list_covering(request, now)
        if not all(map(is_part, (part for key in keys for part in split_key(key)))):
            return None
        trial = self._trials.claim(keys)
        if trial is not None:
            logger.bind(fingerprint=request.fingerprint, keys=trial.keys).info(
                "request sent as a trial of quarantined parts"
            )
            return trial
        for key in keys:
            is_due = self._quarantine.get_age(key, now) >= TRIAL_DELAY
            if is_due and self._trials.request(key, now):
                self._unsaved.set()
        return None

    def covers(self, trial: Trial, request: RequestIdentity) -> bool:
        """Return whether a trial still includes all that a request is rejected for."""
        keys = self._quarantine.list_covering(request, self._get_time())
        return set(keys) <= set(trial.keys)

    def give_back(self, trial: Trial) -> None:
        """Take back a trial whose request was sent to no target."""
        self._trials.give_back(trial)

    def record_crash(
        self, request: RequestIdentity, target: str, running_seconds: float
    ) -> None:
        """Record that a target crashed while it ran a request.

        Parameters
        ----------
        request
            The request.
        target
            Incarnation of the target.
        running_seconds
            Seconds since the first event of the answer; 0 if there was none.
        """
        now = self._get_time()
        fingerprint = request.fingerprint
        answers = self._quarantine.count_answers(fingerprint, now)
        logger.bind(fingerprint=fingerprint, target=target, answers=answers).info(
            "target lost under a request"
        )
        is_early = running_seconds < self._settings.early_phase
        crash = Crash(target, request, is_early)
        self._revoke_trials(request)
        self._publish(self._quarantine.record_crash(crash, now))

    def record_answer(self, request: RequestIdentity) -> None:
        """Record a complete answer of a target."""
        for subject in self._quarantine.record_answer(request, self._get_time()):
            self._broadcast(self._make_report(subject))
            # Rows that accuse the subject outlast this process.
            self._unsaved.set()

    def handle_message(
        self, message: QuarantineMessage, reply: Callable[[QuarantineMessage], None]
    ) -> None:
        """Apply a message of another daemon; `reply` sends an answer to it."""
        now = self._get_time()
        match message:
            case CrashReported(target, request):
                self._object(request.subjects, reply)
                self._revoke_trials(request)
                self._publish(self._quarantine.apply_peer_crash(target, request, now))
            case AnswersReported():
                self._apply_answers(message)
            case QuarantineReported(entries):
                parts = (each for key in entries for each in split_key(key.fingerprint))
                self._object(filter(is_part, parts), reply)
                self._apply_entries(entries)

    def judge_parts(self) -> None:
        """Quarantine the parts that crashes are due to, after the time to object."""
        self._publish(self._quarantine.judge_parts(self._get_time()))

    async def run(self) -> None:
        """Report and save the quarantine until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._report_repeatedly())
            tasks.create_task(self._synchronise_repeatedly())
            tasks.create_task(self._judge_repeatedly())

    async def _report_repeatedly(self) -> None:
        while True:
            await sleep_until_tick(REPORT_INTERVAL)
            self.report()

    async def _synchronise_repeatedly(self) -> None:
        while True:
            await self.synchronise()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(READ_INTERVAL):
                    await self._unsaved.wait()
                    await asyncio.sleep(SAVE_DELAY)

    async def _judge_repeatedly(self) -> None:
        while True:
            await self._accused.wait()
            self._accused.clear()
            await asyncio.sleep(OBJECTION_PERIOD)
            self.judge_parts()

    def _revoke_trials(self, request: RequestIdentity) -> None:
        """Drop the trials of all that a request was quarantined for, as it crashed."""
        now = self._get_time()
        self._trials.revoke(self._quarantine.list_covering(request, now))

    def _object(
        self, subjects: Iterable[str], reply: Callable[[QuarantineMessage], None]
    ) -> None:
        """Tell a daemon of answers to what it suspects."""
        now = self._get_time()
        for subject in subjects:
            if self._quarantine.count_answers(subject, now):
                reply(self._make_report(subject))

    def _make_report(self, subject: str) -> AnswersReported:
        answers = self._quarantine.count_answers(subject, self._get_time())
        return AnswersReported(subject, self._identity, answers)

    def _apply_answers(self, message: AnswersReported) -> None:
        """Count the answers of another daemon, also where this one spread a crash."""
        now = self._get_time()
        subject = message.subject
        is_useful = self._quarantine.needs_answers(subject, now)
        has_spread = self._quarantine.has_own_crash(subject)
        is_new = self._quarantine.apply_peer_answers(
            subject, message.reporter, message.answers, now
        )
        if is_new and is_useful and has_spread:
            self._broadcast(message)

    def _publish(self, effects: Iterable[QuarantineEffect]) -> None:
        for effect in effects:
            match effect:
                case CrashReported():
                    self._broadcast(effect)
                    self._unsaved.set()
                case PartsAccused():
                    self._accused.set()
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
        self._trials.retain(entry.fingerprint for entry in entries)
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
        """Apply the rows of the table, and make it say what this daemon knows."""
        self._unsaved.clear()
        rows = await self._table.read()
        if rows is None:
            return
        now = self._get_time()
        self._apply_entries(
            FingerprintQuarantined(each.fingerprint, each.remaining)
            for each in rows.quarantined
        )
        for crash in rows.crashes:
            self._publish(
                self._quarantine.apply_peer_crash(
                    crash.target, crash.request, now, crash.age
                )
            )
        await self._table.save(rows, self._quarantine, now)
        await self._take_trials(rows, now)

    async def _take_trials(self, rows: QuarantineRows, now: float) -> None:
        """Get a trial of each quarantine that requests need one of, if it is due."""
        self._trials.revoke(filter(rows.is_confirmed, self._trials.list_granted()))
        for key in self._trials.take_wanted():
            remaining = self._quarantine.get_key_remaining(key, now)
            trials = rows.find_trials(key)
            if trials.is_exhausted:
                self._trials.postpone(key, now + remaining)
            if not remaining or not trials.is_due or rows.is_confirmed(key):
                continue
            if await self._table.count_trial(rows, key, remaining):
                self._trials.grant(key)
                logger.bind(fingerprint=key, trials=trials.count + 1).info(
                    "trial of quarantined parts granted"
                )


def _get_loop_time() -> float:
    return asyncio.get_running_loop().time()
