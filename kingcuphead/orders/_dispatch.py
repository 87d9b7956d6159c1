"""Sans-I/O state machine that numbers one order and sends it to its engine."""

import enum
from collections.abc import Iterator

from kingcuphead.orders._messages import (
    CommitReplied,
    CommitWanted,
    DispatchEffect,
    DispatchMessage,
    DispatchOutcome,
    EngineReplied,
    EngineReply,
    Order,
    OrderDone,
    OrderRefused,
    OrderSuperseded,
    OrderUncertain,
    RowReplied,
    RowWanted,
    SendOrder,
    TimePassed,
    WaitWanted,
    is_commutative,
)
from kingcuphead.orders._rows import (
    OrderRow,
    decode_order,
    describe_order,
    encode_order,
    make_order_key,
)
from kingcuphead.storage import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)

#: Seconds before a failed step is retried.
RETRY_SECONDS = 0.5


class Phase(enum.Enum):
    """Reply that the state machine waits for."""

    #: Reply to the read of the target's order row.
    READ = enum.auto()
    #: Reply to the commit of the order row with the next fencing number.
    COMMIT = enum.auto()
    #: Reply to the read that shows whether a commit with a lost reply took effect.
    READ_BACK = enum.auto()
    #: Reply of the engine to the order.
    SEND = enum.auto()
    #: None; the outcome has been returned.
    DONE = enum.auto()


class OrderDispatch:
    """State machine that dispatches one order to one target.

    Parameters
    ----------
    target : str
        Name of the target.
    order : Order
        Order to dispatch.
    checks_fencing : bool
        Whether the target refuses orders with an outdated fencing number.
    attempt : str
        Unique id of this attempt.
    instance : str
        Name of this daemon's instance.
    deadline : float
        Time from which an order without an outcome is reported as uncertain, in seconds
        on the clock of `receive`.
    """

    def __init__(
        self,
        target: str,
        order: Order,
        checks_fencing: bool,
        attempt: str,
        instance: str,
        deadline: float,
    ) -> None:
        self._target = target
        self._order = order
        self._checks_fencing = checks_fencing
        self._attempt = attempt
        self._instance = instance
        self._deadline = deadline
        self._phase = Phase.READ
        self._base_row: Row | None = None
        self._number: int | None = None

    def start(self) -> DispatchEffect:
        """Return the read of the order row, or a refusal of an unsafe order."""
        if not self._checks_fencing and not is_commutative(self._order):
            # A sender that was paused may resume after a newer order was sent; an
            # engine that doesn't check fencing numbers would execute the old order.
            problem = (
                f"{self._target} does not check fencing numbers and accepts only "
                "orders that load a model or adapter; replace the instance instead"
            )
            return self._finish(OrderRefused(problem))
        return RowWanted(make_order_key(self._target))

    def receive(
        self, message: DispatchMessage, now: float
    ) -> tuple[DispatchEffect, ...]:
        """Handle one message at time `now` and return the resulting effects."""
        if self._phase is Phase.DONE:
            return ()
        effects = tuple(self._handle(message, now))
        ended = any(isinstance(each, DispatchOutcome) for each in effects)
        if now >= self._deadline and not ended:
            return (self._finish(OrderUncertain(self._number)),)
        return effects

    def _handle(self, message: DispatchMessage, now: float) -> Iterator[DispatchEffect]:
        match message, self._phase:
            case RowReplied(read=False), Phase.READ | Phase.READ_BACK:
                yield self._wait_for_retry(now)
            case RowReplied(row=row), Phase.READ:
                yield self._assign_number(row)
            case RowReplied(row=row), Phase.READ_BACK:
                yield self._handle_row(row)
            case CommitReplied(), Phase.COMMIT:
                yield self._handle_commit(message, now)
            case EngineReplied(reply=reply), Phase.SEND:
                yield self._handle_reply(reply, now)
            case TimePassed(), _:
                yield self._retry_step()

    def _assign_number(self, row: Row | None) -> DispatchEffect:
        newest = decode_order(row)
        if newest is not None and newest.attempt == self._attempt:
            return self._send(newest.number)
        self._base_row = row
        self._phase = Phase.COMMIT
        return self._make_commit()

    def _make_commit(self) -> CommitWanted:
        newest = decode_order(self._base_row)
        number = 1 if newest is None else newest.number + 1
        order = describe_order(self._order)
        row = OrderRow(number, self._attempt, self._instance, order)
        key = make_order_key(self._target)
        version = ABSENT if self._base_row is None else self._base_row.version
        put = Put(key, encode_order(row))
        return CommitWanted(Transaction((Check(key, version),), (put,)))

    def _handle_commit(self, reply: CommitReplied, now: float) -> DispatchEffect:
        match reply.outcome:
            case Committed():
                newest = decode_order(self._base_row)
                return self._send(1 if newest is None else newest.number + 1)
            case Conflict(rows=rows):
                return self._handle_row(rows[0] if rows else None)
            case Unknown():
                self._phase = Phase.READ_BACK
                return RowWanted(make_order_key(self._target))
            case Unavailable():
                return self._wait_for_retry(now)

    def _handle_row(self, row: Row | None) -> DispatchEffect:
        """Determine from the current row whether the commit took effect."""
        newest = decode_order(row)
        if newest is not None and newest.attempt == self._attempt:
            return self._send(newest.number)
        if row == self._base_row:
            # The first commit may still be in flight. Both require the same row
            # version, so only one of them can succeed.
            self._phase = Phase.COMMIT
            return self._make_commit()
        return self._finish(OrderSuperseded(None))

    def _send(self, number: int) -> SendOrder:
        self._phase = Phase.SEND
        self._number = number
        return SendOrder(self._target, number, self._order)

    def _handle_reply(self, reply: EngineReply, now: float) -> DispatchEffect:
        number = self._number
        if number is None:
            raise AssertionError("an order is sent with a fencing number")
        match reply:
            case EngineReply.DONE:
                return self._finish(OrderDone(number))
            case EngineReply.OLD_NUMBER:
                return self._finish(OrderSuperseded(number))
            case EngineReply.UNKNOWN:
                return self._wait_for_retry(now)

    def _wait_for_retry(self, now: float) -> WaitWanted:
        return WaitWanted(min(now + RETRY_SECONDS, self._deadline))

    def _retry_step(self) -> DispatchEffect:
        """Retry the current step; the same fencing number makes it idempotent."""
        match self._phase, self._number:
            case Phase.SEND, int() as number:
                return self._send(number)
            case Phase.COMMIT, _:
                return self._make_commit()
        return RowWanted(make_order_key(self._target))

    def _finish(self, outcome: DispatchOutcome) -> DispatchOutcome:
        self._phase = Phase.DONE
        return outcome
