from collections.abc import Sequence
from typing import Any

import msgspec
import pytest
from expression import Error, Ok

from kingcuphead.claims import (
    AnswerLost,
    AnswerMissed,
    AnswerObserved,
    Claim,
    ClaimClosed,
    ClaimGranted,
    ClaimReplayed,
    ClaimStarted,
    ClaimUnresolved,
    CommitAnswered,
    CommitRequested,
    DispatchFailed,
    DispatchStarted,
    InvariantError,
    Message,
    PauseEnded,
    PauseRequested,
    ReadAnswered,
    ReadRequested,
    RecordedAnswer,
    Released,
    ReleaseRequested,
    Resolved,
)
from kingcuphead.claims.tests._calls import ANSWER, SETTINGS, make_request, make_row
from kingcuphead.storage import (
    ABSENT,
    Committed,
    Conflict,
    PlatformFault,
    Row,
    Unavailable,
    Unknown,
)
from kingcuphead.verdict import Execution, Reason

OWN = make_request().row
OTHER = make_request("a-2").row
FAULT = ReadAnswered(Error(PlatformFault("read", "outage")))
LOST = CommitAnswered(Unknown())
DOWN = CommitAnswered(Unavailable())
WRITTEN = CommitAnswered(Committed(5))
DISPATCHED: tuple[Message, ...] = (WRITTEN, DispatchStarted())


def conflict(claim):
    return CommitAnswered(Conflict((make_row(claim),)))


def found(claim):
    return ReadAnswered(Ok((make_row(claim),)))


def run(messages: Sequence[Message], at: float = 0.0) -> tuple[Any, ...]:
    """Return the last effects of a claim that receives messages in order."""
    claim = Claim(make_request(), SETTINGS)
    effects = claim.receive(ClaimStarted(), 0.0)
    for message in messages:
        effects = claim.receive(message, at)
    return effects


class TestDecision:
    @pytest.mark.parametrize(
        "messages",
        [
            [WRITTEN],
            [LOST, found(OWN)],
            [LOST, FAULT, PauseEnded(), found(OWN)],
            [LOST, ReadAnswered(Ok(())), conflict(OWN)],
            [LOST, ReadAnswered(Ok(())), DOWN, PauseEnded(), found(OWN)],
            [conflict(OTHER.with_state(Released())), WRITTEN],
        ],
    )
    def test_granted(self, messages):
        assert run(messages) == (ClaimGranted(5),)

    @pytest.mark.parametrize(
        ("state", "execution", "can_retry"),
        [
            (OTHER.state, Execution.MAY_HAVE_RUN, True),
            (AnswerLost("reset"), Execution.MAY_HAVE_RUN, False),
            (Resolved("seen at the mill"), Execution.RAN, False),
            (RecordedAnswer(200, (), None), Execution.RAN, False),
        ],
    )
    @pytest.mark.parametrize("before", [[], [LOST]])
    def test_refused_for_another_attempt(self, before, state, execution, can_retry):
        last = found if before else conflict
        (refusal,) = run([*before, last(OTHER.with_state(state))])
        assert refusal.verdict.execution is execution
        assert refusal.verdict.reason is Reason.ALREADY_CLAIMED
        assert (refusal.verdict.retry_after is not None) is can_retry
        assert not refusal.is_uncertain

    def test_old_claim_gives_no_time_to_come_back(self):
        old = msgspec.structs.replace(OTHER, claimed_at=1000.0 - SETTINGS.stale_after)
        (refusal,) = run([conflict(old)])
        assert refusal.verdict.retry_after is None

    def test_replayed(self):
        assert run([conflict(OTHER.with_state(ANSWER))]) == (ClaimReplayed(ANSWER),)

    def test_key_of_a_different_request(self):
        other = make_request("a-2", fingerprint="g").row.with_state(ANSWER)
        (refusal,) = run([conflict(other)])
        assert refusal.verdict.reason is Reason.INVALID_REQUEST
        assert refusal.verdict.execution is Execution.NOT_RUN

    def test_claim_of_a_newer_schema_may_have_run(self):
        row = Row(make_request().row_key, 9, b'{"schema":2,"state":{}}')
        (refusal,) = run([CommitAnswered(Conflict((row,)))])
        assert refusal.verdict.execution is Execution.MAY_HAVE_RUN

    def test_table_down_is_not_run_at_once(self):
        (refusal,) = run([DOWN])
        assert refusal.verdict.execution is Execution.NOT_RUN
        assert refusal.verdict.retry_after == SETTINGS.retry_after

    @pytest.mark.parametrize("messages", [[LOST, FAULT], [LOST, ReadAnswered(Ok(()))]])
    def test_unresolved_write_is_refused_and_then_undone(self, messages):
        refusal, query = run(messages, at=SETTINGS.resolve_timeout)
        assert refusal.verdict.execution is Execution.NOT_RUN
        assert query == ReadRequested((make_request().row_key,))

    def test_attempt_id_that_was_used_before(self):
        with pytest.raises(InvariantError, match="unique"):
            run([conflict(OWN)])


class TestUndo:
    UNRESOLVED = (LOST, FAULT)

    def undo(self, *messages):
        claim = Claim(make_request(), SETTINGS)
        claim.receive(ClaimStarted(), 0.0)
        for message in self.UNRESOLVED:
            claim.receive(message, SETTINGS.resolve_timeout)
        for message in messages:
            effects = claim.receive(message, SETTINGS.resolve_timeout)
        return effects

    @pytest.mark.parametrize(
        ("answer", "version"),
        [
            (found(OWN), 5),
            (ReadAnswered(Ok(())), ABSENT),
            (found(OTHER.with_state(Released())), 5),
        ],
    )
    def test_released_row_takes_the_place_of_the_write(self, answer, version):
        (query,) = self.undo(answer)
        (write,) = query.transaction.writes
        assert query.transaction.checks[0].version == version
        assert b'"released"' in write.value

    def test_write_that_lands_late_is_released_too(self):
        (query,) = self.undo(ReadAnswered(Ok(())), conflict(OWN))
        assert query.transaction.checks[0].version == 5

    @pytest.mark.parametrize("claim", [OTHER, OWN.with_state(Released())])
    def test_nothing_left_to_undo(self, claim):
        assert self.undo(found(claim)) == (ClaimClosed(),)


class TestClosing:
    @pytest.mark.parametrize(
        ("message", "state"),
        [
            (AnswerObserved(ANSWER), b'"recorded"'),
            (AnswerMissed("reset"), b'"lost"'),
        ],
    )
    def test_dispatched_call_is_written_down(self, message, state):
        (query,) = run([*DISPATCHED, message])
        assert query.transaction.checks[0].version == 5
        assert state in query.transaction.writes[0].value

    @pytest.mark.parametrize("answer", [LOST, DOWN])
    def test_write_is_tried_again_after_a_pause(self, answer):
        recorded: list[Message] = [*DISPATCHED, AnswerObserved(ANSWER)]
        assert run([*recorded, answer]) == (PauseRequested(SETTINGS.first_pause),)
        again = run([*recorded, answer, PauseEnded(), found(OWN)])
        assert isinstance(again[0], CommitRequested)
        landed = found(OWN.with_state(ANSWER))
        assert run([*recorded, answer, PauseEnded(), landed]) == (ClaimClosed(),)

    def test_gives_up_at_last(self):
        claim = Claim(make_request(), SETTINGS)
        claim.receive(ClaimStarted(), 0.0)
        for message in (*DISPATCHED, AnswerObserved(ANSWER)):
            claim.receive(message, 0.0)
        (ending,) = claim.receive(DOWN, SETTINGS.close_timeout)
        assert isinstance(ending, ClaimUnresolved)

    def test_dispatched_claim_that_was_taken_over(self):
        with pytest.raises(InvariantError, match="keeps its claim"):
            run([*DISPATCHED, AnswerObserved(ANSWER), conflict(OTHER)])


class TestDispatch:
    def test_failed_dispatch_can_be_released(self):
        (query,) = run([*DISPATCHED, DispatchFailed(), ReleaseRequested()])
        assert b'"released"' in query.transaction.writes[0].value

    @pytest.mark.parametrize(
        "messages",
        [
            [DispatchStarted()],
            [DOWN, DispatchStarted()],
            [LOST, DispatchStarted()],
            [WRITTEN, DispatchStarted(), DispatchStarted()],
            [WRITTEN, DispatchStarted(), ReleaseRequested()],
            [WRITTEN, ReleaseRequested(), DispatchStarted()],
            [WRITTEN, AnswerObserved(ANSWER)],
        ],
    )
    def test_message_out_of_phase(self, messages):
        with pytest.raises(InvariantError, match="phase"):
            run(messages)
