"""Lifecycle of the daemon: start, run and graceful shutdown."""

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
from kingcuphead.daemon._claim_sweep import sweep_periodically
from kingcuphead.daemon._identity import make_own_member
from kingcuphead.daemon._instance_poll import poll_instances
from kingcuphead.daemon._layout_check import check_layout
from kingcuphead.daemon._state_backend import DaemonBackend
from kingcuphead.daemon._state_machine_task import call_periodically
from kingcuphead.operators import (
    OperatorBackend,
    TableBudgets,
    TableRecords,
    make_operator_application,
)
from kingcuphead.peers import PeerServer
from kingcuphead.settings import Settings

#: Seconds between two ticks of the ledger, which drive its retries and the
#: timeouts of waiting holds.
LEDGER_TICK_INTERVAL = 0.05
#: Seconds between two ticks of the scheduler and of the membership.
TICK_INTERVAL = 0.2
#: Poll interval in seconds for open requests during a shutdown.
DRAIN_INTERVAL = 0.05
#: Seconds for which queued messages to peers are sent before the links close.
LINK_FLUSH_TIMEOUT = 1.0
#: Bytes by which Tornado's own limit on a body exceeds the limit of the handlers.
#: Tornado enforces its limit before a handler sees the request, so the caller would
#: get no answer if Tornado's limit were the smaller one.
BODY_LIMIT_MARGIN = 1024 * 1024 * 1024


class Daemon:
    """Router daemon on one instance of the fleet.

    Parameters
    ----------
    settings
        The validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._assembly: Assembly | None = None
        self._stop = asyncio.Event()
        self._failure: BaseException | None = None

    async def run(self) -> bool:
        """Run until a signal or a failed task stops the daemon.

        Returns
        -------
        bool
            Whether a signal stopped it and the shutdown left no request, bill or credit
            open.
        """
        assembly = assemble(self._settings, make_own_member(self._settings))
        self._assembly = assembly
        self._install_signal_handlers()
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
        components = assembly.components
        interval = self._settings.platform.poll_interval_seconds
        return [
            components.ledger.run(),
            components.scheduler.run(),
            components.membership.run(),
            components.configuration.run(),
            components.target_poller.run(),
            poll_instances(
                assembly.instances, interval, assembly.event_router.handle_instances
            ),
            sweep_periodically(assembly.table),
            check_layout(assembly.table, self._settings.budgets.shards),
            call_periodically(
                LEDGER_TICK_INTERVAL, lambda: components.ledger.post(budgets.Ticked())
            ),
            call_periodically(
                TICK_INTERVAL, lambda: components.scheduler.post(queueing.Ticked())
            ),
            call_periodically(TICK_INTERVAL, assembly.event_router.tick_membership),
        ]

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Stop the daemon if one of its tasks has failed."""
        if task.cancelled() or task.exception() is None:
            return
        self._failure = task.exception()
        logger.opt(exception=self._failure).critical(
            "a task failed; stopping the daemon"
        )
        self._stop.set()

    def _listen(self, assembly: Assembly) -> "list[HTTPServer | PeerServer]":
        listen = self._settings.listen
        limits = self._settings.limits
        application = make_caller_application(
            assembly.components.gateway, CallerServerSettings(limits.body_bytes)
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
        peers = PeerServer(assembly.components.peer_router.deliver)
        peers.listen(listen.peer_port, listen.address)
        return [callers, operators, peers]

    def _make_operator_backend(self, assembly: Assembly) -> OperatorBackend:
        components = assembly.components
        return OperatorBackend(
            records=TableRecords(components.configuration, assembly.table),
            budgets=TableBudgets(
                assembly.table,
                self._settings.budgets.shards,
                lambda: assembly.event_router.instances,
                components.ledger,
            ),
            state=DaemonBackend(assembly, self._settings.instance.name),
        )

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)

    async def _drain(
        self, assembly: Assembly, callers: "HTTPServer | PeerServer"
    ) -> bool:
        """Wait for the open requests, commit the bills and return the credit."""
        grace = self._settings.shutdown.grace_seconds
        deadline = asyncio.get_running_loop().time() + grace
        logger.info("shutdown started; grace period {} s", grace)
        assembly.event_router.close()
        assembly.components.membership.post(membership.LeaveStarted())
        callers.stop()
        while assembly.components.gateway.open_requests:
            if asyncio.get_running_loop().time() > deadline:
                break
            await asyncio.sleep(DRAIN_INTERVAL)
        remaining = max(0.1, deadline - asyncio.get_running_loop().time())
        finished = await assembly.components.ledger.shut_down(remaining)
        if not finished:
            logger.error(
                "shutdown timed out with uncommitted bills or unreturned credit"
            )
        return finished and not assembly.components.gateway.open_requests
