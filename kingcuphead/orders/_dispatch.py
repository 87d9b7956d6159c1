"""Sans-I/O machine that numbers one order and brings it to its engine."""

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

#: Seconds before a step is tried again.
RETRY_SECONDS = 0.5


class Phase(enum.Enum):
    """What the machine waits for."""

    #: The target's newest order.
    READ = enum.auto()
    #: The commit that takes the next number.
    COMMIT = enum.auto()
    #: What became of a commit whose reply was lost.
    READ_BACK = enum.auto()
    #: The engine.
    SEND = enum.auto()
    #: Nothing more.
    DONE = enum.auto()


class OrderDispatch:
    """Dispatch one order to one target.

    Parameters
    ----------
    target : str
        Target name.
    order : Order
        The order.
    checks_fencing : bool
        Whether the target refuses an order with an old number.
    attempt : str
        Unique id of this attempt.
    instance : str
        Name of this daemon.
    deadline : float
        Time at which an outcome is due.
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
        self._base: Row | None = None
        self._number: int | None = None

    def start(self) -> DispatchEffect:
        """Return the first effect."""
        if not self._checks_fencing and not is_commutative(self._order):
            # A paused sender may wake after a newer order, and nothing stops it.
            problem = (
                f"{self._target} ignores fencing numbers, so it takes only orders that "
                "add to what is loaded; replace the instance instead"
            )
            return self._finish(OrderRefused(problem))
        return RowWanted(make_order_key(self._target))

    def receive(
        self, message: DispatchMessage, now: float
    ) -> tuple[DispatchEffect, ...]:
        """Take one message at time `now` and return what follows from it."""
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
                yield self._wait(now)
            case RowReplied(row=row), Phase.READ:
                yield self._take_number(row)
            case RowReplied(row=row), Phase.READ_BACK:
                yield self._judge_row(row)
            case CommitReplied(), Phase.COMMIT:
                yield self._judge_commit(message, now)
            case EngineReplied(reply=reply), Phase.SEND:
                yield self._judge_reply(reply, now)
            case TimePassed(), _:
                yield self._repeat()

    def _take_number(self, row: Row | None) -> DispatchEffect:
        newest = decode_order(row)
        if newest is not None and newest.attempt == self._attempt:
            return self._send(newest.number)
        self._base = row
        self._phase = Phase.COMMIT
        return self._make_commit()

    def _make_commit(self) -> CommitWanted:
        newest = decode_order(self._base)
        number = 1 if newest is None else newest.number + 1
        order = describe_order(self._order)
        row = OrderRow(number, self._attempt, self._instance, order)
        key = make_order_key(self._target)
        version = ABSENT if self._base is None else self._base.version
        put = Put(key, encode_order(row))
        return CommitWanted(Transaction((Check(key, version),), (put,)))

    def _judge_commit(self, reply: CommitReplied, now: float) -> DispatchEffect:
        match reply.outcome:
            case Committed():
                newest = decode_order(self._base)
                return self._send(1 if newest is None else newest.number + 1)
            case Conflict(rows=rows):
                return self._judge_row(rows[0] if rows else None)
            case Unknown():
                self._phase = Phase.READ_BACK
                return RowWanted(make_order_key(self._target))
            case Unavailable():
                return self._wait(now)

    def _judge_row(self, row: Row | None) -> DispatchEffect:
        """Decide by the row as it is now whether this attempt holds the number."""
        newest = decode_order(row)
        if newest is not None and newest.attempt == self._attempt:
            return self._send(newest.number)
        if row == self._base:
            # The lost commit may still arrive; a second copy can't also succeed.
            self._phase = Phase.COMMIT
            return self._make_commit()
        return self._finish(OrderSuperseded(None))

    def _send(self, number: int) -> SendOrder:
        self._phase = Phase.SEND
        self._number = number
        return SendOrder(self._target, number, self._order)

    def _judge_reply(self, reply: EngineReply, now: float) -> DispatchEffect:
        number = self._number
        if number is None:
            raise AssertionError("an order is sent under a fencing number")
        match reply:
            case EngineReply.DONE:
                return self._finish(OrderDone(number))
            case EngineReply.OLD_NUMBER:
                return self._finish(OrderSuperseded(number))
            case EngineReply.UNKNOWN:
                return self._wait(now)

    def _wait(self, now: float) -> WaitWanted:
        return WaitWanted(min(now + RETRY_SECONDS, self._deadline))

    def _repeat(self) -> DispatchEffect:
        """Try the step under way again; the same number makes it idempotent."""
        match self._phase, self._number:
            case Phase.SEND, int() as number:
                return self._send(number)
            case Phase.COMMIT, _:
                return self._make_commit()
        return RowWanted(make_order_key(self._target))

    def _finish(self, outcome: DispatchOutcome) -> DispatchOutcome:
        self._phase = Phase.DONE
        return outcome
