"""Detection and quarantine of what crashes targets: requests, and parts of prompts."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from kingcuphead.quarantine._answers import SubjectAnswers
from kingcuphead.quarantine._culprits import Crashes, find_culprits, is_any_accused
from kingcuphead.quarantine._entries import QuarantinedKeys
from kingcuphead.quarantine._messages import (
    Crash,
    CrashReported,
    FingerprintQuarantined,
    FingerprintReleased,
    PartsAccused,
    QuarantineEffect,
    QuarantineEntry,
    SavedCrash,
)
from kingcuphead.quarantine._own_crashes import OwnCrashes
from kingcuphead.quarantine._pending import LostRequest, PendingCrashes
from kingcuphead.quarantine._settings import QuarantineSettings
from kingcuphead.quarantine._subjects import (
    RequestIdentity,
    is_part,
    join_subjects,
    split_key,
)
from kingcuphead.quarantine._suspicions import (
    CrashedRequest,
    RecordedCrash,
    Suspicions,
)

#: Targets that are remembered because the cause of their crash is known.
MAX_EXPLAINED = 256


class Quarantine:
    """Quarantines requests and parts of prompts under which several targets crashed.

    A crash loses every request of the target. It is attributed to the requests in
    their early phase, or to the later ones if none was early, and to those parts of
    their prompts that were never answered.

    A request is quarantined once its crashes are repeated and outnumber its answers: a
    popular request that is answered all the time is lost with targets that others
    crash. Parts are quarantined by `find_culprits`; one answer clears a part.

    Parameters
    ----------
    settings : QuarantineSettings
        Thresholds and retention times.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        retention, capacity = settings.crash_retention, settings.capacity
        self._settings = settings
        self._suspicions = Suspicions(retention, capacity)
        self._answers = SubjectAnswers(retention, capacity)
        self._keys = QuarantinedKeys(retention - settings.expiry, capacity)
        self._pending = PendingCrashes(settings.crash_window)
        self._explained: OrderedDict[str, None] = OrderedDict()
        #: Keys whose quarantine this daemon announced.
        self._announced: set[str] = set()
        self._own_crashes = OwnCrashes()
        self._releases: dict[str, float] = {}

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether requests with this fingerprint are rejected."""
        return self._keys.get_remaining(fingerprint, now) > 0

    def get_remaining(self, request: RequestIdentity, now: float) -> float:
        """Return the seconds until the quarantine of a request ends; 0 without one."""
        keys = self._keys.find_covering(request.subjects)
        return max((self._keys.get_remaining(key, now) for key in keys), default=0.0)

    def get_key_remaining(self, key: str, now: float) -> float:
        """Return the seconds until the quarantine of a key ends; 0 without one."""
        return self._keys.get_remaining(key, now)

    def get_age(self, key: str, now: float) -> float:
        """Return the seconds since the verdict on a key that is quarantined."""
        return self._settings.expiry - self._keys.get_remaining(key, now)

    def list_covering(self, request: RequestIdentity, now: float) -> tuple[str, ...]:
        """Return the keys because of which a request is rejected."""
        keys = self._keys.find_covering(request.subjects)
        return tuple(sorted(each for each in keys if self.is_quarantined(each, now)))

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a crash is, or can still be, attributed to a fingerprint."""
        return fingerprint in self._suspicions or fingerprint in self._pending

    def has_own_crash(self, subject: str) -> bool:
        """Return whether this daemon saw a crash that is attributed to a subject."""
        return self._suspicions.get(subject).has_own_crash

    def describe(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the quarantined keys for operators."""
        return tuple(
            self._describe_entry(key, remaining)
            for key, remaining in self._keys.list_active(now)
        )

    def list_own_crashes(self, now: float) -> tuple[SavedCrash, ...]:
        """Return the crashes that this daemon saw and that matter to later daemons.

        These are the crashes that quarantined parts explain, and those that may yet
        lead to a quarantine.
        """
        own = self._own_crashes.list_all(now)
        revised = (self.revise_crash(crash, now) for crash in own)
        return tuple(
            crash
            for crash in revised
            if crash is not None and self._matters(crash, now)
        )

    def revise_crash(self, crash: SavedCrash, now: float) -> SavedCrash | None:
        """Return a crash without the parts that were answered since.

        Returns
        -------
        SavedCrash | None
            None if answers outweigh the request's crashes, too, so that nothing
            remains to be suspected.
        """
        parts = self._answers.leave_out_answered_parts(crash.request.parts, now)
        if not parts and self._is_outweighed(crash.request.fingerprint, now):
            return None
        request = RequestIdentity(crash.request.fingerprint, parts)
        return SavedCrash(crash.target, request, crash.age)

    def revise_key(self, key: str, now: float) -> str:
        """Return a key without the parts that were answered; empty if none is left."""
        return join_subjects(
            self._answers.leave_out_answered_parts(split_key(key), now)
        )

    def record_crash(self, crash: Crash, now: float) -> tuple[QuarantineEffect, ...]:
        """Record a request that was lost because its target crashed."""
        if not crash.is_early:
            self._pending.hold_back(LostRequest(crash.target, crash.request), now)
            return ()
        self._pending.note_early(crash.target, now)
        return tuple(self._attribute_own(crash.target, crash.request, now))

    def apply_peer_crash(
        self, target: str, request: RequestIdentity, now: float, age: float = 0.0
    ) -> tuple[QuarantineEffect, ...]:
        """Apply a crash report from a peer, or from the time before this process.

        Every daemon receives the same reports and decides locally. Only the daemons
        that saw one of the crashes themselves return the resulting quarantine as an
        effect, so its announcements are as few as the crashes.
        """
        if self._releases.get(request.fingerprint, now) > now:
            return ()
        crashed = CrashedRequest(target, request.fingerprint)
        known = self._suspicions.get(request.fingerprint)
        if any(crash.crashed == crashed for crash in known.crashes):
            return ()
        self._pending.note_early(target, now)
        crash = RecordedCrash(crashed, now - age, is_own=False)
        return tuple(self._attribute(crash, request, now))

    def record_answer(self, request: RequestIdentity, now: float) -> tuple[str, ...]:
        """Count a complete answer that this daemon passed on.

        Returns
        -------
        tuple of str
            Subjects whose answers other daemons need to know.
        """
        needed = tuple(
            each for each in request.subjects if self.needs_answers(each, now)
        )
        self._answers.record(request, now)
        for part in request.parts:
            self._clear_part(part)
        return needed

    def apply_peer_answers(
        self, subject: str, reporter: str, answers: int, now: float
    ) -> bool:
        """Apply a peer's number of answers; return whether it is new."""
        is_new = self._answers.apply_report(subject, reporter, answers, now)
        if is_part(subject):
            self._clear_part(subject)
        return is_new

    def count_answers(self, subject: str, now: float) -> int:
        """Return the number of complete answers that this daemon passed on."""
        return self._answers.count_own(subject, now)

    def needs_answers(self, subject: str, now: float) -> bool:
        """Return whether another answer may decide about a suspect subject."""
        if is_part(subject):
            return subject in self._suspicions or bool(self._keys.list_with(subject))
        if subject not in self._suspicions:
            return False
        return -self._count_excess(subject, now) <= self._min_targets

    def clear_suspicion(self, fingerprint: str) -> None:
        """Discard the crashes of a fingerprint after a complete answer.

        The crashes of a quarantined fingerprint are kept.
        """
        if fingerprint not in self._keys:
            self._suspicions.clear(fingerprint)

    def judge_parts(self, now: float) -> tuple[QuarantineEffect, ...]:
        """Quarantine the parts that explain repeated crashes."""
        effects: list[QuarantineEffect] = []
        while culprits := self._find_culprits(now):
            for parts in culprits:
                effects += self._quarantine_parts(parts, now)
        return tuple(effects)

    def apply_peer_quarantine(self, key: str, remaining: float, now: float) -> None:
        """Apply a peer's quarantine, which ends in `remaining` seconds.

        Parts that were answered are left out.
        """
        if self._releases.get(key, now) > now:
            return
        if revised := self.revise_key(key, now):
            end = now + min(remaining, self._settings.expiry)
            self._keys.put(revised, end)

    def release(self, fingerprint: str, now: float) -> tuple[QuarantineEffect, ...]:
        """Release a fingerprint for an operator, and return the notice to peers."""
        self.apply_peer_release(fingerprint, now)
        return (FingerprintReleased(fingerprint),)

    def apply_peer_release(self, fingerprint: str, now: float) -> None:
        """Apply a release that an operator made on a peer."""
        self._keys.pop(fingerprint)
        self._suspicions.clear(fingerprint)
        # Gossip of the old quarantine may still arrive after the release.
        self._releases[fingerprint] = now + self._settings.crash_window * 10
        while len(self._releases) > self._settings.capacity:
            del self._releases[next(iter(self._releases))]

    def tick(self, now: float) -> tuple[QuarantineEffect, ...]:
        """Resolve crashes whose window has ended, and drop expired entries."""
        effects = tuple(
            effect
            for lost in self._pending.resolve(now)
            for effect in self._attribute_own(lost.target, lost.request, now)
        )
        self._keys.expire(now)
        self._announced = {key for key in self._announced if key in self._keys}
        self._suspicions.expire(now)
        self._releases = {
            name: expiry for name, expiry in self._releases.items() if expiry > now
        }
        return effects

    def _attribute_own(
        self, target: str, request: RequestIdentity, now: float
    ) -> Iterator[QuarantineEffect]:
        parts = self._answers.leave_out_answered_parts(request.parts, now)
        request = RequestIdentity(request.fingerprint, parts)
        yield CrashReported(target, request)
        crashed = CrashedRequest(target, request.fingerprint)
        self._own_crashes.add(crashed, request, now)
        crash = RecordedCrash(crashed, now, is_own=True)
        yield from self._attribute(crash, request, now)

    def _attribute(
        self, crash: RecordedCrash, request: RequestIdentity, now: float
    ) -> Iterator[QuarantineEffect]:
        """Attribute a crash to the subjects of a request, unless its cause is known."""
        covering = tuple(self._keys.find_covering(request.subjects))
        if covering:
            yield from self._renew(covering, crash, now)
            return
        if crash.crashed.target in self._explained:
            return
        fingerprint = request.fingerprint
        self._suspicions.add(fingerprint, crash, now)
        if self._is_repeated(fingerprint, now):
            yield from self._quarantine(fingerprint, now)
        parts = self._answers.leave_out_answered_parts(request.parts, now)
        for part in parts:
            self._suspicions.add(part, crash, now)
        if is_any_accused(
            self._list_crashes(parts), self._settings.min_targets_of_part
        ):
            yield PartsAccused()

    def _renew(
        self, keys: Iterable[str], crash: RecordedCrash, now: float
    ) -> Iterator[QuarantineEffect]:
        """Quarantine keys again whose quarantine has ended; they explain the crash."""
        self._explain([crash.crashed.target])
        for key in keys:
            if not self.is_quarantined(key, now):
                yield from self._quarantine(key, now, is_announced=crash.is_own)

    def _matters(self, crash: SavedCrash, now: float) -> bool:
        """Whether a part explains a crash, or the crash may yet lead to a verdict."""
        if any(self._keys.find_covering(crash.request.parts)):
            return True
        fingerprint = crash.request.fingerprint
        is_open = crash.target not in self._explained and fingerprint not in self._keys
        return is_open and self._count_excess(fingerprint, now) > 0

    def _is_repeated(self, fingerprint: str, now: float) -> bool:
        crashes = len(self._suspicions.get(fingerprint).targets)
        return crashes >= self._min_targets and self._count_excess(fingerprint, now) > 0

    def _find_culprits(self, now: float) -> tuple[frozenset[str], ...]:
        subjects = filter(is_part, self._suspicions.list_subjects())
        parts = self._answers.leave_out_answered_parts(subjects, now)
        return find_culprits(
            self._list_crashes(parts),
            self._settings.min_targets_of_part,
            self._settings.max_disputed,
        )

    def _list_crashes(self, parts: Iterable[str]) -> Crashes:
        return {
            part: frozenset(crash.crashed for crash in suspicion.crashes)
            for part, suspicion in self._suspicions.select(parts).items()
        }

    def _quarantine_parts(
        self, parts: frozenset[str], now: float
    ) -> Iterator[QuarantineEffect]:
        """Quarantine parts that were lost together; they explain these crashes."""
        suspicions = self._suspicions.select(parts).values()
        common = frozenset.intersection(*(frozenset(s.targets) for s in suspicions))
        yield from self._quarantine(join_subjects(parts), now)
        self._explain(common)

    def _quarantine(
        self, key: str, now: float, is_announced: bool | None = None
    ) -> Iterator[QuarantineEffect]:
        """Quarantine a key; only those who saw one of its crashes announce it."""
        if is_announced is None:
            is_announced = any(map(self.has_own_crash, split_key(key)))
        self._keys.put(key, now + self._settings.expiry)
        if is_announced:
            self._announced.add(key)
            yield FingerprintQuarantined(key, self._settings.expiry)

    def _explain(self, targets: Iterable[str]) -> None:
        """Stop suspecting others of the crashes of targets, now and later."""
        for target in targets:
            self._explained[target] = None
        while len(self._explained) > MAX_EXPLAINED:
            self._explained.popitem(last=False)
        self._suspicions.clear_targets(targets)

    def _clear_part(self, part: str) -> None:
        """Stop suspecting a part; what it was quarantined with stays quarantined."""
        self._suspicions.clear(part)
        for key in self._keys.list_with(part):
            end = self._keys.pop(key)
            others = split_key(key) - {part}
            if others and end is not None:
                self._keys.put(join_subjects(others), end)
            if key in self._announced:
                self._announced.remove(key)
                self._announced.add(join_subjects(others))

    def _is_outweighed(self, fingerprint: str, now: float) -> bool:
        """Whether the answers to a request, not quarantined, outweigh its crashes."""
        is_answered = self._answers.count_all(fingerprint, now) > 0
        is_innocent = is_answered and self._count_excess(fingerprint, now) <= 0
        return is_innocent and fingerprint not in self._keys

    def _count_excess(self, fingerprint: str, now: float) -> int:
        """Return by how much the crashes of a request outnumber its answers."""
        crashes = len(self._suspicions.get(fingerprint).targets)
        return crashes - self._answers.count_all(fingerprint, now)

    def _describe_entry(self, key: str, remaining: float) -> QuarantineEntry:
        suspicions = [self._suspicions.get(subject) for subject in split_key(key)]
        targets = dict.fromkeys(
            target for each in suspicions for target in each.targets
        )
        return QuarantineEntry(key, tuple(targets), remaining, key in self._announced)

    @property
    def _min_targets(self) -> int:
        return self._settings.min_crashed_targets
