from collections.abc import Sequence
from typing import Any

import msgspec
import pytest
from expression import Error, Ok

from kingcuphead.claims import (
    AnswerLost,
    AnswerNotReceived,
    AnswerReceived,
    BackoffElapsed,
    BackoffRequested,
    Claim,
    ClaimClosed,
    ClaimGranted,
    ClaimReplayed,
    ClaimStarted,
    ClaimUnresolved,
    CommitReplied,
    CommitRequested,
    DispatchFailed,
    DispatchStarted,
    InvariantError,
    Message,
    ReadReplied,
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
READ_FAILED = ReadReplied(Error(PlatformFault("read", "outage")))
COMMIT_UNKNOWN = CommitReplied(Unknown())
TABLE_UNAVAILABLE = CommitReplied(Unavailable())
COMMITTED = CommitReplied(Committed(5))
DISPATCHED: tuple[Message, ...] = (COMMITTED, DispatchStarted())


def make_conflict(claim):
    return CommitReplied(Conflict((make_row(claim),)))


def make_read_reply(claim):
    return ReadReplied(Ok((make_row(claim),)))


def run_claim(messages: Sequence[Message], at: float = 0.0) -> tuple[Any, ...]:
    """Return the effects of the last message to a claim that receives them all."""
    claim = Claim(make_request(), SETTINGS)
    effects = claim.receive(ClaimStarted(), 0.0)
    for message in messages:
        effects = claim.receive(message, at)
    return effects


class TestDecision:
    @pytest.mark.parametrize(
        "messages",
        [
            [COMMITTED],
            [COMMIT_UNKNOWN, make_read_reply(OWN)],
            [COMMIT_UNKNOWN, READ_FAILED, BackoffElapsed(), make_read_reply(OWN)],
            [COMMIT_UNKNOWN, ReadReplied(Ok(())), make_conflict(OWN)],
            [
                COMMIT_UNKNOWN,
                ReadReplied(Ok(())),
                TABLE_UNAVAILABLE,
                BackoffElapsed(),
                make_read_reply(OWN),
            ],
            [make_conflict(OTHER.with_state(Released())), COMMITTED],
        ],
    )
    def test_claim_is_granted(self, messages):
        assert run_claim(messages) == (ClaimGranted(5),)

    @pytest.mark.parametrize(
        ("state", "execution", "can_retry"),
        [
            (OTHER.state, Execution.MAY_HAVE_RUN, True),
            (AnswerLost("reset"), Execution.MAY_HAVE_RUN, False),
            (Resolved("the service has the order"), Execution.RAN, False),
            (RecordedAnswer(200, (), None), Execution.RAN, False),
        ],
    )
    @pytest.mark.parametrize("before", [[], [COMMIT_UNKNOWN]])
    def test_refused_for_another_attempt(self, before, state, execution, can_retry):
        make_reply = make_read_reply if before else make_conflict
        (refusal,) = run_claim([*before, make_reply(OTHER.with_state(state))])
        assert refusal.verdict.execution is execution
        assert refusal.verdict.reason is Reason.ALREADY_CLAIMED
        assert (refusal.verdict.retry_after is not None) is can_retry
        assert not refusal.is_uncertain

    def test_stale_claim_gives_no_retry_time(self):
        old = msgspec.structs.replace(OTHER, claimed_at=1000.0 - SETTINGS.stale_after)
        (refusal,) = run_claim([make_conflict(old)])
        assert refusal.verdict.retry_after is None

    def test_recorded_answer_is_replayed(self):
        assert run_claim([make_conflict(OTHER.with_state(ANSWER))]) == (
            ClaimReplayed(ANSWER),
        )

    def test_key_of_a_different_request_is_refused(self):
        other = make_request("a-2", fingerprint="g").row.with_state(ANSWER)
        (refusal,) = run_claim([make_conflict(other)])
        assert refusal.verdict.reason is Reason.INVALID_REQUEST
        assert refusal.verdict.execution is Execution.NOT_RUN

    def test_claim_of_a_newer_schema_may_have_run(self):
        row = Row(make_request().row_key, 9, b'{"schema":2,"state":{}}')
        (refusal,) = run_claim([CommitReplied(Conflict((row,)))])
        assert refusal.verdict.execution is Execution.MAY_HAVE_RUN

    def test_unavailable_table_refuses_without_retrying(self):
        (refusal,) = run_claim([TABLE_UNAVAILABLE])
        assert refusal.verdict.execution is Execution.NOT_RUN
        assert refusal.verdict.retry_after == SETTINGS.retry_after

    @pytest.mark.parametrize(
        "messages",
        [[COMMIT_UNKNOWN, READ_FAILED], [COMMIT_UNKNOWN, ReadReplied(Ok(()))]],
    )
    def test_uncertain_write_is_refused_and_undone(self, messages):
        refusal, effect = run_claim(messages, at=SETTINGS.acquire_timeout)
        assert refusal.verdict.execution is Execution.NOT_RUN
        assert effect == ReadRequested((make_request().row_key,))

    def test_reused_attempt_id_breaks_an_invariant(self):
        with pytest.raises(InvariantError, match="unique"):
            run_claim([make_conflict(OWN)])


class TestUndo:
    UNCERTAIN = (COMMIT_UNKNOWN, READ_FAILED)

    def run_undo(self, *messages):
        claim = Claim(make_request(), SETTINGS)
        claim.receive(ClaimStarted(), 0.0)
        for message in self.UNCERTAIN:
            claim.receive(message, SETTINGS.acquire_timeout)
        for message in messages:
            effects = claim.receive(message, SETTINGS.acquire_timeout)
        return effects

    @pytest.mark.parametrize(
        ("reply", "version"),
        [
            (make_read_reply(OWN), 5),
            (ReadReplied(Ok(())), ABSENT),
            (make_read_reply(OTHER.with_state(Released())), 5),
        ],
    )
    def test_undo_writes_a_released_row(self, reply, version):
        (effect,) = self.run_undo(reply)
        (write,) = effect.transaction.writes
        assert effect.transaction.checks[0].version == version
        assert b'"released"' in write.value

    def test_write_that_arrives_late_is_released(self):
        (effect,) = self.run_undo(ReadReplied(Ok(())), make_conflict(OWN))
        assert effect.transaction.checks[0].version == 5

    @pytest.mark.parametrize("claim", [OTHER, OWN.with_state(Released())])
    def test_undo_ends_without_a_write(self, claim):
        assert self.run_undo(make_read_reply(claim)) == (ClaimClosed(),)


class TestClosing:
    @pytest.mark.parametrize(
        ("message", "state"),
        [
            (AnswerReceived(ANSWER), b'"recorded"'),
            (AnswerNotReceived("reset"), b'"lost"'),
        ],
    )
    def test_outcome_of_a_dispatched_call_is_recorded(self, message, state):
        (effect,) = run_claim([*DISPATCHED, message])
        assert effect.transaction.checks[0].version == 5
        assert state in effect.transaction.writes[0].value

    @pytest.mark.parametrize("reply", [COMMIT_UNKNOWN, TABLE_UNAVAILABLE])
    def test_failed_write_is_retried_after_a_delay(self, reply):
        recorded: list[Message] = [*DISPATCHED, AnswerReceived(ANSWER)]
        assert run_claim([*recorded, reply]) == (
            BackoffRequested(SETTINGS.initial_backoff),
        )
        retried = run_claim([*recorded, reply, BackoffElapsed(), make_read_reply(OWN)])
        assert isinstance(retried[0], CommitRequested)
        written = make_read_reply(OWN.with_state(ANSWER))
        assert run_claim([*recorded, reply, BackoffElapsed(), written]) == (
            ClaimClosed(),
        )

    def test_closing_times_out(self):
        claim = Claim(make_request(), SETTINGS)
        claim.receive(ClaimStarted(), 0.0)
        for message in (*DISPATCHED, AnswerReceived(ANSWER)):
            claim.receive(message, 0.0)
        (outcome,) = claim.receive(TABLE_UNAVAILABLE, SETTINGS.close_timeout)
        assert isinstance(outcome, ClaimUnresolved)

    def test_dispatched_claim_replaced_by_another_attempt_breaks_an_invariant(self):
        with pytest.raises(InvariantError, match="keeps its claim"):
            run_claim([*DISPATCHED, AnswerReceived(ANSWER), make_conflict(OTHER)])


class TestDispatch:
    def test_failed_dispatch_can_be_released(self):
        (effect,) = run_claim([*DISPATCHED, DispatchFailed(), ReleaseRequested()])
        assert b'"released"' in effect.transaction.writes[0].value

    @pytest.mark.parametrize(
        "messages",
        [
            [DispatchStarted()],
            [TABLE_UNAVAILABLE, DispatchStarted()],
            [COMMIT_UNKNOWN, DispatchStarted()],
            [COMMITTED, DispatchStarted(), DispatchStarted()],
            [COMMITTED, DispatchStarted(), ReleaseRequested()],
            [COMMITTED, ReleaseRequested(), DispatchStarted()],
            [COMMITTED, AnswerReceived(ANSWER)],
        ],
    )
    def test_message_in_the_wrong_phase_breaks_an_invariant(self, messages):
        with pytest.raises(InvariantError, match="phase"):
            run_claim(messages)
