"""The daemon's life: start, run, graceful shutdown."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from loguru import logger
from tornado.httpserver import HTTPServer

from kingcuphead import budgets, membership, queueing
from kingcuphead.daemon._assembly import Assembly, assemble
from kingcuphead.daemon._caller_handlers import (
    CallerServerSettings,
    make_caller_application,
)
from kingcuphead.daemon._claim_sweep import sweep_regularly
from kingcuphead.daemon._identity import make_own_member
from kingcuphead.daemon._instance_watch import watch_instances
from kingcuphead.daemon._layout_check import check_layout
from kingcuphead.daemon._machine_task import tick
from kingcuphead.daemon._state_backend import DaemonBackend
from kingcuphead.operators import (
    OperatorBackend,
    TableBudgets,
    TableRecords,
    make_operator_application,
)
from kingcuphead.peers import PeerServer
from kingcuphead.settings import Settings

#: Seconds between two ticks of the ledger, on which waiting holds depend.
LEDGER_TICK_INTERVAL = 0.05
#: Seconds between two ticks of the scheduler and of the membership.
TICK_INTERVAL = 0.2
#: Seconds between two looks at the requests that a shutdown waits for.
DRAIN_INTERVAL = 0.05
#: Seconds to send what waits for peers before the links close.
LINK_FLUSH_TIMEOUT = 1.0
#: Tornado enforces its own limit before a handler sees the request; it must not
#: be the smaller one, or the caller would get no answer.
BODY_LIMIT_MARGIN = 1024 * 1024 * 1024


class Daemon:
    """One entry instance of the fleet.

    Parameters
    ----------
    settings
        The checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._assembly: Assembly | None = None
        self._stop = asyncio.Event()
        self._failure: BaseException | None = None

    async def run(self) -> bool:
        """Run until a signal or a failure ends the daemon.

        Returns
        -------
        bool
            Whether it ended by a signal, with nothing left behind.
        """
        assembly = assemble(self._settings, make_own_member(self._settings))
        self._assembly = assembly
        self._watch_signals()
        tasks = [self._start(coroutine) for coroutine in self._list_tasks(assembly)]
        servers = self._listen(assembly)
        logger.info("daemon {} started", self._settings.instance.name)
        await self._stop.wait()
        clean = False
        if self._failure is None:
            clean = await self._drain(assembly, servers[0])
        for server in servers:
            server.stop()
        await assembly.links.close(LINK_FLUSH_TIMEOUT)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assembly.relay.close()
        logger.info("daemon {} ended", self._settings.instance.name)
        return clean

    def _list_tasks(self, assembly: Assembly) -> list[Coroutine[Any, Any, None]]:
        parts = assembly.parts
        interval = self._settings.platform.poll_interval_seconds
        return [
            parts.ledger.run(),
            parts.scheduler.run(),
            parts.membership.run(),
            parts.configuration.run(),
            parts.targets.run(),
            watch_instances(
                assembly.instances, interval, assembly.announcements.take_instances
            ),
            sweep_regularly(assembly.table),
            check_layout(assembly.table, self._settings.budgets.shards),
            tick(LEDGER_TICK_INTERVAL, lambda: parts.ledger.post(budgets.Ticked())),
            tick(TICK_INTERVAL, lambda: parts.scheduler.post(queueing.Ticked())),
            tick(TICK_INTERVAL, assembly.announcements.tick_membership),
        ]

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task[None]) -> None:
        """Stop the daemon when one of its tasks fails."""
        if task.cancelled() or task.exception() is None:
            return
        self._failure = task.exception()
        logger.opt(exception=self._failure).critical("a task failed")
        self._stop.set()

    def _listen(self, assembly: Assembly) -> "list[HTTPServer | PeerServer]":
        listen = self._settings.listen
        limits = self._settings.limits
        application = make_caller_application(
            assembly.parts.gateway, CallerServerSettings(limits.body_bytes)
        )
        callers = HTTPServer(
            application,
            max_body_size=limits.body_bytes + BODY_LIMIT_MARGIN,
            max_header_size=limits.header_bytes,
        )
        callers.listen(listen.caller_port, listen.address)
        operators = HTTPServer(
            make_operator_application(
                self._make_operator_backend(assembly),
                self._settings.operators.token_digests,
            )
        )
        operators.listen(listen.operator_port, listen.address)
        peers = PeerServer(assembly.parts.router.deliver)
        peers.listen(listen.peer_port, listen.address)
        return [callers, operators, peers]

    def _make_operator_backend(self, assembly: Assembly) -> OperatorBackend:
        parts = assembly.parts
        return OperatorBackend(
            records=TableRecords(parts.configuration, assembly.table),
            budgets=TableBudgets(
                assembly.table,
                self._settings.budgets.shards,
                lambda: assembly.announcements.instances,
                parts.ledger,
            ),
            state=DaemonBackend(assembly, self._settings.instance.name),
        )

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)

    async def _drain(
        self, assembly: Assembly, callers: "HTTPServer | PeerServer"
    ) -> bool:
        """Finish what is in flight, commit the bills and hand credit back."""
        grace = self._settings.shutdown.grace_seconds
        deadline = asyncio.get_running_loop().time() + grace
        logger.info("shutdown started; {} s of grace", grace)
        assembly.announcements.close()
        assembly.parts.membership.post(membership.LeaveStarted())
        callers.stop()
        while assembly.parts.gateway.open_requests:
            if asyncio.get_running_loop().time() > deadline:
                break
            await asyncio.sleep(DRAIN_INTERVAL)
        left = max(0.1, deadline - asyncio.get_running_loop().time())
        finished = await assembly.parts.ledger.shut_down(left)
        if not finished:
            logger.error("shutdown ends with bills or credit still open")
        return finished and not assembly.parts.gateway.open_requests
