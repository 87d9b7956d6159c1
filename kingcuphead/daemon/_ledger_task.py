"""Task that owns the ledger: credit, holds and bills of this daemon."""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Callable

from expression import Error, Ok
from loguru import logger

from kingcuphead import budgets
from kingcuphead.daemon._state_machine_task import BackgroundTasks, StateMachineTask
from kingcuphead.pipeline import HoldTerms
from kingcuphead.storage import Table
from kingcuphead.verdict import Outcome, Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class CreditTotals:
    """Sums of this daemon's credit over all budgets, in tokens."""

    #: Free tokens, neither held nor spent.
    free: int
    #: Tokens held for the upper bounds of open requests.
    held: int


class LedgerTask:
    """Runs the ledger state machine and completes the pipeline's holds and bills.

    Parameters
    ----------
    ledger
        State machine; only this task may call it.
    table
        Table of the platform that stores budgets and bills.
    send
        Sends a message to a peer, given its instance name.
    report_fault
        Callback that counts one fault.
    """

    def __init__(
        self,
        ledger: budgets.Ledger,
        table: Table,
        send: Callable[[str, budgets.PeerMessage], None],
        report_fault: Callable[[budgets.FaultReported], None],
    ) -> None:
        self._ledger = ledger
        self._task: StateMachineTask[budgets.Input, budgets.Effect] = StateMachineTask(
            "ledger", ledger, self._execute
        )
        self._table = table
        self._send = send
        self._report_fault = report_fault
        self._hold_numbers = itertools.count(1)
        self._background = BackgroundTasks()
        self._hold_futures: dict[str, asyncio.Future[Outcome[str]]] = {}
        self._bill_futures: dict[str, asyncio.Future[None]] = {}
        self._surrenders: dict[tuple[str, str], frozenset[str]] = {}
        self._shutdown_finished = asyncio.Event()

    async def run(self) -> None:
        """Handle messages until cancelled, then cancel the calls to the table."""
        try:
            await self._task.run()
        finally:
            await self._background.cancel()

    def post(self, message: budgets.Input) -> None:
        """Queue a message for the ledger."""
        self._task.post(message)

    async def hold(self, terms: HoldTerms) -> Outcome[str]:
        """Hold credit for the upper bound of a request's cost.

        Returns
        -------
        Outcome
            The id of the hold, or the verdict of its refusal.
        """
        hold_id = f"{terms.request_id}#{next(self._hold_numbers)}"
        future: asyncio.Future[Outcome[str]] = (
            asyncio.get_running_loop().create_future()
        )
        self._hold_futures[hold_id] = future
        self.post(_make_hold_request(hold_id, terms))
        try:
            return await future
        except asyncio.CancelledError:
            self.release(hold_id)
            raise
        finally:
            del self._hold_futures[hold_id]

    def release(self, hold_id: str) -> None:
        """End a hold without a bill; only if no part of the request can have run."""
        self.post(budgets.HoldReleased(hold_id))

    async def settle(
        self, hold_id: str, prompt_tokens: int, completion_tokens: int, measured: bool
    ) -> None:
        """Settle a hold and wait until its bill survives the loss of this daemon."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._bill_futures[hold_id] = future
        self.post(
            budgets.HoldSettled(
                hold_id, prompt_tokens, completion_tokens, measured, time.time()
            )
        )
        try:
            await future
        finally:
            del self._bill_futures[hold_id]

    def sum_credit(self) -> CreditTotals:
        """Return the free and the held tokens over all budgets."""
        accounts = self._ledger.borrower.accounts.values()
        lines = [line for account in accounts for line in account.lines.values()]
        return CreditTotals(
            free=sum(account.free for account in accounts),
            held=sum(line.held for line in lines),
        )

    async def collect(
        self, budget: str, grant_id: str, timeout: float
    ) -> frozenset[str]:
        """Request all daemons to surrender a grant permanently; collect the replies.

        Returns
        -------
        frozenset of str
            Names of the daemons that surrendered it within `timeout` seconds and hold
            no token of it.
        """
        key = (budget, grant_id)
        self._surrenders[key] = frozenset()
        self.post(budgets.SurrenderStarted(budget, grant_id))
        await asyncio.sleep(timeout)
        return self._surrenders.pop(key, frozenset())

    async def shut_down(self, timeout: float) -> bool:
        """Return all credit and commit all bills; False if that exceeds the timeout."""
        self.post(budgets.ShutdownStarted())
        try:
            await asyncio.wait_for(self._shutdown_finished.wait(), timeout)
        except TimeoutError:
            return False
        return True

    def _execute(self, effect: budgets.Effect) -> None:
        match effect:
            case budgets.SendToPeer(instance, message):
                self._send(instance, message)
            case budgets.CommitRequested():
                self._background.start(self._commit(effect))
            case budgets.ReadRequested():
                self._background.start(self._read(effect))
            case budgets.ScanRequested():
                self._background.start(self._scan(effect))
            case _:
                self._handle_result(effect)

    def _handle_result(
        self,
        effect: budgets.HoldGranted
        | budgets.HoldRefused
        | budgets.BillSafe
        | budgets.FaultReported
        | budgets.SurrenderReported
        | budgets.ShutdownFinished,
    ) -> None:
        match effect:
            case budgets.HoldGranted(hold_id):
                self._complete_hold(hold_id, Ok(hold_id))
            case budgets.HoldRefused(hold_id, verdict):
                self._complete_hold(hold_id, self._refuse(verdict))
            case budgets.BillSafe(hold_id):
                self._complete_bill(hold_id)
            case budgets.FaultReported():
                logger.warning(
                    "ledger fault {} in budget {}: {}",
                    effect.kind,
                    effect.budget,
                    effect.detail,
                )
                self._report_fault(effect)
            case budgets.SurrenderReported(budget, grant_id, surrendered):
                if (budget, grant_id) in self._surrenders:
                    self._surrenders[budget, grant_id] = frozenset(surrendered)
            case budgets.ShutdownFinished():
                self._shutdown_finished.set()

    @staticmethod
    def _refuse(verdict: Verdict) -> Outcome[str]:
        return Error(verdict)

    def _complete_hold(self, hold_id: str, outcome: Outcome[str]) -> None:
        future = self._hold_futures.get(hold_id)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _complete_bill(self, hold_id: str) -> None:
        future = self._bill_futures.get(hold_id)
        if future is not None and not future.done():
            future.set_result(None)

    async def _commit(self, effect: budgets.CommitRequested) -> None:
        outcome = await self._table.commit(effect.transaction)
        self.post(budgets.CommitFinished(effect.token, outcome))

    async def _read(self, effect: budgets.ReadRequested) -> None:
        result = await self._table.read(effect.keys)
        rows = result.ok if result.is_ok() else None
        self.post(budgets.RowsRead(effect.token, rows))

    async def _scan(self, effect: budgets.ScanRequested) -> None:
        result = await self._table.scan(effect.prefix, effect.after, effect.limit)
        page = result.ok if result.is_ok() else None
        self.post(budgets.RowsScanned(effect.token, page))


def _make_hold_request(hold_id: str, terms: HoldTerms) -> budgets.HoldRequested:
    return budgets.HoldRequested(
        hold_id=hold_id,
        request_id=terms.request_id,
        budget=terms.budget,
        organisation=terms.organisation,
        tokens=terms.tokens,
        policy=terms.policy,
        deadline=time.monotonic() + terms.timeout,
    )
