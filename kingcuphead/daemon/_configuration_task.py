"""The task that owns the watcher of the configuration."""

from collections.abc import Callable

from loguru import logger

from kingcuphead import configuration
from kingcuphead.daemon._machine_task import BackgroundTasks, MachineTask
from kingcuphead.platform import Table

#: Rows in one page of a scan of records.
PAGE_ROWS = 500


class ConfigurationTask:
    """Follows the configuration in the table and at the peers.

    Parameters
    ----------
    watcher
        The machine; the task owns it.
    table
        The platform's table.
    send
        Sends a message to a peer by instance name.
    announce
        Receives applied configurations and changes of freshness.
    """

    def __init__(
        self,
        watcher: configuration.Watcher,
        table: Table,
        send: Callable[
            [
                str,
                configuration.ConfigurationRequested
                | configuration.ConfigurationOffered,
            ],
            None,
        ],
        announce: Callable[
            [configuration.ConfigurationApplied | configuration.FreshnessChanged],
            None,
        ],
        instance: str,
    ) -> None:
        self._task: MachineTask[
            configuration.WatcherMessage, configuration.WatcherEffect
        ] = MachineTask("configuration", watcher, self._execute)
        self._table = table
        self._send = send
        self._announce = announce
        self._instance = instance
        self._background = BackgroundTasks()

    async def run(self) -> None:
        """Own the watcher until cancelled."""
        try:
            await self._task.run()
        finally:
            await self._background.cancel()

    def post(self, message: configuration.WatcherMessage) -> None:
        """Hand a message to the watcher."""
        self._task.post(message)

    def _execute(self, effect: configuration.WatcherEffect) -> None:
        match effect:
            case configuration.HeadRequested(attempt):
                self._background.start(self._read_head(attempt))
            case configuration.ReadRequested():
                self._background.start(self._read(effect))
            case configuration.ScanRequested():
                self._background.start(self._scan(effect))
            case configuration.ConfigurationApplied(applied):
                logger.info("configuration revision {} is in force", applied.revision)
                self._announce(effect)
            case configuration.FreshnessChanged(freshness):
                logger.info("the configuration is {}", freshness.value)
                self._announce(effect)
            case configuration.RevisionRefused(revision, problem):
                logger.error("revision {} is not put in force: {}", revision, problem)
            case configuration.PeerAsked(instance):
                request = configuration.ConfigurationRequested(self._instance)
                self._send(instance, request)
            case configuration.PeerAnswered(instance, offer):
                self._send(instance, offer)

    async def _read_head(self, attempt: int) -> None:
        result = await self._table.read((configuration.HEAD_KEY,))
        if result.is_error():
            self.post(configuration.ReadFailed(attempt))
            return
        row = result.ok[0] if result.ok else None
        self.post(configuration.HeadRead(attempt, row))

    async def _read(self, effect: configuration.ReadRequested) -> None:
        result = await self._table.read(effect.keys)
        if result.is_error():
            self.post(configuration.ReadFailed(effect.attempt))
            return
        self.post(configuration.ChangesRead(effect.attempt, result.ok))

    async def _scan(self, effect: configuration.ScanRequested) -> None:
        result = await self._table.scan(effect.prefix, effect.after, PAGE_ROWS)
        if result.is_error():
            self.post(configuration.ReadFailed(effect.attempt))
            return
        page = result.ok
        self.post(
            configuration.RecordsRead(effect.attempt, page.rows, page.resume_after)
        )
