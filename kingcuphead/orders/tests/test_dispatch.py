import itertools

import pytest
from hypothesis import given, settings, strategies

from kingcuphead.orders import (
    ChangeRole,
    CommitReplied,
    CommitWanted,
    DispatchMessage,
    EngineReplied,
    EngineReply,
    LoadAdapter,
    LoadModel,
    Order,
    OrderDispatch,
    OrderDone,
    OrderRefused,
    OrderSuperseded,
    OrderUncertain,
    RowReplied,
    RowWanted,
    SendOrder,
    TimePassed,
    UnloadModel,
    WaitWanted,
)
from kingcuphead.storage import MemoryTable, Unavailable, Unknown

DEADLINE = 60.0
LOAD_1 = LoadModel("large", "1")
LOAD_2 = LoadModel("large", "2")


class Engine:
    """Stand-in for a model engine that checks or ignores fencing numbers."""

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.highest = 0
        self.loaded: set[tuple[str, ...]] = set()
        self.role = "decode"

    def execute(self, sent: SendOrder) -> EngineReply:
        if self.checks_fencing and sent.number < self.highest:
            return EngineReply.OLD_NUMBER
        self.highest = max(self.highest, sent.number)
        match sent.order:
            case LoadModel(model=model, version=version):
                self.loaded.add((model, version))
            case LoadAdapter(model=model, adapter=adapter, version=version):
                self.loaded.add((model, adapter, version))
            case UnloadModel(model=model, version=version):
                self.loaded.discard((model, version))
            case ChangeRole(role=role):
                self.role = role
        return EngineReply.DONE


class Sender:
    """Runs one dispatch against a table until it sends its order or ends."""

    numbers = itertools.count()

    def __init__(self, table: MemoryTable, order: Order, checks: bool) -> None:
        self.table = table
        attempt = f"a{next(self.numbers)}"
        self.dispatch = OrderDispatch("t", order, checks, attempt, "d", DEADLINE)
        #: Outcomes to report instead of the table's; the flag says whether the
        #: commit takes effect.
        self.injected_outcomes: list[tuple[Unknown | Unavailable, bool]] = []

    def run(self):
        """Return the effect that sends the order, or the outcome."""
        effect = self.dispatch.start()
        reply: DispatchMessage
        while True:
            match effect:
                case RowWanted(key=key):
                    rows = self.table.read_now((key,))
                    reply = RowReplied(True, rows[0] if rows else None)
                case CommitWanted(transaction=transaction):
                    reply = CommitReplied(self.commit(transaction))
                case WaitWanted():
                    reply = TimePassed()
                case _:
                    return effect
            (effect,) = self.dispatch.receive(reply, 0.0)

    def commit(self, transaction):
        if not self.injected_outcomes:
            return self.table.commit_now(transaction)
        outcome, is_applied = self.injected_outcomes.pop(0)
        if is_applied:
            self.table.commit_now(transaction)
        return outcome

    def report(self, reply: EngineReply, now: float = 0.0):
        (effect,) = self.dispatch.receive(EngineReplied(reply), now)
        return effect


class TestFencing:
    def test_fencing_numbers_increase(self):
        table = MemoryTable()
        sent = [Sender(table, LOAD_1, True).run().number for _ in range(3)]
        assert sent == [1, 2, 3]

    @pytest.mark.parametrize("is_applied", [True, False])
    @pytest.mark.parametrize("outcome", [Unknown(), Unavailable()])
    def test_commit_with_a_lost_reply_uses_one_number(self, outcome, is_applied):
        if isinstance(outcome, Unavailable) and is_applied:
            outcome = Unknown()
        sender = Sender(MemoryTable(), LOAD_1, True)
        sender.injected_outcomes = [(outcome, is_applied)]
        assert sender.run().number == 1
        assert sender.table.counts.commits == 1

    def test_concurrent_commits_of_one_number_have_one_winner(self):
        table = MemoryTable()
        first, second = (Sender(table, LOAD_1, True) for _ in range(2))
        first.dispatch.start()
        first.dispatch.receive(RowReplied(True), 0.0)
        assert second.run().number == 1
        (wait,) = first.dispatch.receive(CommitReplied(Unavailable()), 0.0)
        assert isinstance(wait, WaitWanted)
        (commit,) = first.dispatch.receive(TimePassed(), 1.0)
        assert isinstance(commit, CommitWanted)
        outcome = table.commit_now(commit.transaction)
        (effect,) = first.dispatch.receive(CommitReplied(outcome), 1.0)
        assert effect == OrderSuperseded(None)

    def test_unanswered_order_is_resent_with_the_same_number(self):
        sender = Sender(MemoryTable(), LOAD_1, True)
        sent = sender.run()
        assert isinstance(sender.report(EngineReply.UNKNOWN), WaitWanted)
        assert sender.dispatch.receive(TimePassed(), 1.0) == (sent,)
        assert sender.report(EngineReply.DONE) == OrderDone(1)

    def test_order_is_uncertain_after_the_deadline(self):
        sender = Sender(MemoryTable(), LOAD_1, True)
        sender.run()
        late = sender.report(EngineReply.UNKNOWN, DEADLINE)
        assert late == OrderUncertain(1)


class TestPausedSender:
    def test_engine_that_checks_fencing_refuses_a_resumed_sender(self):
        table, engine = MemoryTable(), Engine(checks_fencing=True)
        paused = Sender(table, ChangeRole("prefill"), True)
        old = paused.run()
        newer = Sender(table, ChangeRole("decode"), True)
        assert newer.report(engine.execute(newer.run())) == OrderDone(2)
        assert paused.report(engine.execute(old)) == OrderSuperseded(1)
        assert engine.role == "decode"

    @pytest.mark.parametrize("order", [ChangeRole("prefill"), UnloadModel("m", "1")])
    def test_engine_that_ignores_fencing_gets_only_commutative_orders(self, order):
        table = MemoryTable()
        assert isinstance(Sender(table, order, False).run(), OrderRefused)
        assert table.counts.commits == 0

    def test_resumed_sender_is_harmless_if_fencing_is_ignored(self):
        table, engine = MemoryTable(), Engine(checks_fencing=False)
        paused = Sender(table, LOAD_1, False)
        old = paused.run()
        newer = Sender(table, LOAD_2, False)
        engine.execute(newer.run())
        engine.execute(old)
        in_force = {("large", "2")}
        assert engine.loaded & in_force == in_force

    @settings(derandomize=True, max_examples=50, deadline=None, database=None)
    @given(deliveries=strategies.permutations(range(6)), data=strategies.data())
    def test_commutative_orders_give_one_result_in_any_order(self, deliveries, data):
        table, engine = MemoryTable(), Engine(checks_fencing=False)
        orders = (
            LOAD_1,
            LOAD_2,
            LOAD_1,
            LoadAdapter("large", "a", "1"),
            LoadModel("small", "1"),
            LOAD_2,
        )
        sent = [Sender(table, order, False).run() for order in orders]
        repeated = data.draw(strategies.lists(strategies.sampled_from(range(6))))
        for at in (*deliveries, *repeated):
            engine.execute(sent[at])
        assert engine.loaded == {
            ("large", "1"),
            ("large", "2"),
            ("large", "a", "1"),
            ("small", "1"),
        }
