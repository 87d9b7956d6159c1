"""The task that owns the ledger: credit, holds and bills of this daemon."""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Callable

from expression import Error, Ok
from loguru import logger

from kingcuphead import budgets
from kingcuphead.daemon._machine_task import BackgroundTasks, MachineTask
from kingcuphead.pipeline import HoldTerms
from kingcuphead.storage import Table
from kingcuphead.verdict import Outcome, Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Credit at hand, in tokens."""

    #: Neither held nor spent.
    free: int
    #: Held for requests.
    held: int


class LedgerTask:
    """Answers the pipeline's holds and bills by way of the ledger machine.

    Parameters
    ----------
    ledger
        The machine; the task owns it.
    table
        The platform's table.
    send
        Sends a message to a peer by instance name.
    report
        Receives faults for counters.
    """

    def __init__(
        self,
        ledger: budgets.Ledger,
        table: Table,
        send: Callable[[str, budgets.PeerMessage], None],
        report: Callable[[budgets.FaultReported], None],
    ) -> None:
        self._ledger = ledger
        self._task: MachineTask[budgets.Input, budgets.Effect] = MachineTask(
            "ledger", ledger, self._execute
        )
        self._table = table
        self._send = send
        self._report = report
        self._numbers = itertools.count(1)
        self._background = BackgroundTasks()
        self._holds: dict[str, asyncio.Future[Outcome[str]]] = {}
        self._bills: dict[str, asyncio.Future[None]] = {}
        self._surrenders: dict[tuple[str, str], frozenset[str]] = {}
        self._finished = asyncio.Event()

    async def run(self) -> None:
        """Own the ledger until cancelled."""
        try:
            await self._task.run()
        finally:
            await self._background.cancel()

    def post(self, message: budgets.Input) -> None:
        """Hand a message to the ledger."""
        self._task.post(message)

    async def hold(self, terms: HoldTerms) -> Outcome[str]:
        """Reserve credit for a request.

        Returns
        -------
        Outcome
            The id of the hold, or the verdict that refuses it.
        """
        hold_id = f"{terms.request_id}#{next(self._numbers)}"
        future: asyncio.Future[Outcome[str]] = (
            asyncio.get_running_loop().create_future()
        )
        self._holds[hold_id] = future
        self.post(_make_request(hold_id, terms))
        try:
            return await future
        except asyncio.CancelledError:
            self.release(hold_id)
            raise
        finally:
            del self._holds[hold_id]

    def release(self, hold_id: str) -> None:
        """Give a hold back whole: nothing of the request can have run."""
        self.post(budgets.HoldReleased(hold_id))

    async def settle(
        self, hold_id: str, prompt_tokens: int, completion_tokens: int, measured: bool
    ) -> None:
        """Bill a request and wait until the bill is safe."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._bills[hold_id] = future
        self.post(
            budgets.HoldSettled(
                hold_id, prompt_tokens, completion_tokens, measured, time.time()
            )
        )
        try:
            await future
        finally:
            del self._bills[hold_id]

    def sum_credit(self) -> Credit:
        """Return the credit at hand, over all budgets."""
        accounts = self._ledger.borrower.accounts.values()
        lines = [line for account in accounts for line in account.lines.values()]
        return Credit(
            free=sum(account.free for account in accounts),
            held=sum(line.held for line in lines),
        )

    async def collect(
        self, budget: str, grant_id: str, timeout: float
    ) -> frozenset[str]:
        """Ask every daemon to give up credit on a grant for good.

        Returns
        -------
        frozenset of str
            The daemons that hold nothing of it any more, after `timeout` seconds.
        """
        key = (budget, grant_id)
        self._surrenders[key] = frozenset()
        self.post(budgets.SurrenderStarted(budget, grant_id))
        await asyncio.sleep(timeout)
        return self._surrenders.pop(key, frozenset())

    async def shut_down(self, timeout: float) -> bool:
        """Give credit back and commit the bills; return whether all was done."""
        self.post(budgets.ShutdownStarted())
        try:
            await asyncio.wait_for(self._finished.wait(), timeout)
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
                self._answer(effect)

    def _answer(
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
                self._answer_hold(hold_id, Ok(hold_id))
            case budgets.HoldRefused(hold_id, verdict):
                self._answer_hold(hold_id, self._refuse(verdict))
            case budgets.BillSafe(hold_id):
                self._answer_bill(hold_id)
            case budgets.FaultReported():
                logger.warning(
                    "{} in {}: {}", effect.kind, effect.budget, effect.detail
                )
                self._report(effect)
            case budgets.SurrenderReported(budget, grant_id, surrendered):
                if (budget, grant_id) in self._surrenders:
                    self._surrenders[budget, grant_id] = frozenset(surrendered)
            case budgets.ShutdownFinished():
                self._finished.set()

    @staticmethod
    def _refuse(verdict: Verdict) -> Outcome[str]:
        return Error(verdict)

    def _answer_hold(self, hold_id: str, answer: Outcome[str]) -> None:
        future = self._holds.get(hold_id)
        if future is not None and not future.done():
            future.set_result(answer)

    def _answer_bill(self, hold_id: str) -> None:
        future = self._bills.get(hold_id)
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


def _make_request(hold_id: str, terms: HoldTerms) -> budgets.HoldRequested:
    return budgets.HoldRequested(
        hold_id=hold_id,
        request_id=terms.request_id,
        budget=terms.budget,
        organisation=terms.organisation,
        tokens=terms.tokens,
        policy=terms.policy,
        deadline=time.monotonic() + terms.timeout,
    )
