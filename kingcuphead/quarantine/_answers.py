"""Counts the answers to requests, which weigh against the crashes under them."""

import dataclasses
from collections import OrderedDict
from collections.abc import Iterable

from kingcuphead.frozen import frozen
from kingcuphead.quarantine._subjects import RequestIdentity, is_part


@frozen
class _Answers:
    """The complete answers to one request."""

    #: Number of answers that this daemon passed on.
    own: int = 0
    #: When the last answer was counted, in seconds on the monotonic clock.
    counted_at: float = 0.0
    #: Numbers of answers that other daemons reported, by the daemon.
    reported: tuple[tuple[str, int], ...] = ()

    @property
    def total(self) -> int:
        return self.own + sum(answers for _, answers in self.reported)

    def with_report(self, reporter: str, answers: int, now: float) -> "_Answers":
        others = tuple(each for each in self.reported if each[0] != reporter)
        return _Answers(self.own, now, (*others, (reporter, answers)))


class AnswerCounts:
    """Counts answers by fingerprint; does no I/O.

    Parameters
    ----------
    retention
        Seconds after the last answer for which a count is kept.
    capacity
        Maximum number of counts; the one that rose longest ago is evicted first.
    """

    def __init__(self, retention: float, capacity: int) -> None:
        self._retention = retention
        self._capacity = capacity
        self._answers: OrderedDict[str, _Answers] = OrderedDict()

    def record(self, fingerprint: str, now: float) -> None:
        """Count a complete answer of this daemon."""
        answers = self._get(fingerprint, now)
        answers = dataclasses.replace(answers, own=answers.own + 1, counted_at=now)
        self._put(fingerprint, answers)

    def apply_report(
        self, fingerprint: str, reporter: str, answers: int, now: float
    ) -> bool:
        """Apply the count of another daemon; return whether that is new."""
        known = self._get(fingerprint, now)
        if (reporter, answers) in known.reported:
            return False
        self._put(fingerprint, known.with_report(reporter, answers, now))
        return True

    def count_own(self, fingerprint: str, now: float) -> int:
        """Return the number of answers that this daemon passed on."""
        return self._get(fingerprint, now).own

    def count_all(self, fingerprint: str, now: float) -> int:
        """Return the number of answers of all daemons that reported theirs."""
        return self._get(fingerprint, now).total

    def _get(self, fingerprint: str, now: float) -> _Answers:
        answers = self._answers.get(fingerprint, _Answers())
        return answers if now - answers.counted_at <= self._retention else _Answers()

    def _put(self, fingerprint: str, answers: _Answers) -> None:
        self._answers[fingerprint] = answers
        self._answers.move_to_end(fingerprint)
        if len(self._answers) > self._capacity:
            self._answers.popitem(last=False)


class SubjectAnswers:
    """Counts answers to requests and to parts of their prompts; does no I/O.

    Parameters
    ----------
    retention
        Seconds after the last answer for which a count is kept.
    capacity
        Maximum number of counts of requests, and of parts.
    """

    def __init__(self, retention: float, capacity: int) -> None:
        self._requests = AnswerCounts(retention, capacity)
        self._parts = AnswerCounts(retention, capacity)

    def record(self, request: RequestIdentity, now: float) -> None:
        """Count a complete answer of this daemon."""
        self._requests.record(request.fingerprint, now)
        for part in request.parts:
            self._parts.record(part, now)

    def apply_report(
        self, subject: str, reporter: str, answers: int, now: float
    ) -> bool:
        """Apply the count of another daemon; return whether that is new."""
        counts = self._select(subject)
        return counts.apply_report(subject, reporter, answers, now)

    def count_own(self, subject: str, now: float) -> int:
        """Return the number of answers that this daemon passed on."""
        return self._select(subject).count_own(subject, now)

    def count_all(self, subject: str, now: float) -> int:
        """Return the number of answers of all daemons that reported theirs."""
        return self._select(subject).count_all(subject, now)

    def leave_out_answered_parts(
        self, subjects: Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Return the subjects without the parts that were answered."""
        return tuple(
            each
            for each in subjects
            if not is_part(each) or not self._parts.count_all(each, now)
        )

    def _select(self, subject: str) -> AnswerCounts:
        return self._parts if is_part(subject) else self._requests
