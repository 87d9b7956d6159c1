"""Opens connections to targets, on the daemon's own path or through another daemon."""

import asyncio
import enum
import random
from collections.abc import Callable, Iterable

from loguru import logger

from kingcuphead.forwarding import TargetConnection, connect_to_target
from kingcuphead.paths._monitor import PathMonitor
from kingcuphead.paths._peers import PeerPaths
from kingcuphead.paths._tunnel_client import NoHelperError, TunnelClient
from kingcuphead.timing import get_time, sleep_until_tick

#: Number of targets that are tried at once to find out about a path.
MAX_PROBED = 5
#: Seconds between two attempts to connect to targets while the path is lost.
PROBE_INTERVAL = 0.25
#: Bound in seconds on such an attempt.
PROBE_TIMEOUT = 0.4


class RefusalJudgement(enum.Enum):
    """What is known about a target that refused a connection."""

    #: Another daemon is refused as well.
    REFUSED_ELSEWHERE = "refused_elsewhere"
    #: Another daemon reaches it, or can't tell.
    NOT_CONFIRMED = "not_confirmed"
    #: No other daemon answers; this one reaches other targets.
    OWN_PATH_SOUND = "own_path_sound"
    #: No other daemon answers, and this one reaches no other target.
    OWN_PATH_LOST = "own_path_lost"

    @property
    def means_loss(self) -> bool:
        """Whether the target has ended."""
        return self in (
            RefusalJudgement.REFUSED_ELSEWHERE,
            RefusalJudgement.OWN_PATH_SOUND,
        )


class Connector:
    """Connects to targets, and finds out when the daemon's own path is back.

    Parameters
    ----------
    monitor
        Tells whether the own path is lost.
    peer_paths
        Knows which daemons can help.
    list_addresses
        Returns the addresses of all targets that accept requests.
    rng
        Chooses the targets that are probed.
    """

    def __init__(
        self,
        monitor: PathMonitor,
        peer_paths: PeerPaths,
        list_addresses: Callable[[], Iterable[str]],
        rng: random.Random,
    ) -> None:
        self._monitor = monitor
        self._tunnels = TunnelClient(peer_paths)
        self._list_addresses = list_addresses
        self._rng = rng
        self._check: asyncio.Task[None] | None = None

    @property
    def uses_idle_connections(self) -> bool:
        """Whether connections that are already open may be used.

        They may hang while the path is lost.
        """
        return not self._monitor.is_lost

    async def run(self) -> None:
        """Look for the own path while it is lost, until cancelled."""
        while True:
            await sleep_until_tick(PROBE_INTERVAL)
            if self._monitor.is_lost:
                await self._probe_path()

    async def connect(self, address: str, timeout: float) -> TargetConnection:
        """Open a connection to a target.

        Parameters
        ----------
        address
            Address as `IP:port`.
        timeout
            Bound in seconds on opening the connection.

        Raises
        ------
        OSError
            The connection could not be opened; nothing was sent.
        TimeoutError
            The connection was not opened in time; nothing was sent.
        """
        if self._monitor.is_lost:
            return await self._tunnels.connect(address, timeout)
        try:
            return await self.connect_directly(address, timeout)
        except (OSError, TimeoutError):
            if not await self._learn_of_loss():
                raise
        return await self._tunnels.connect(address, timeout)

    async def confirm_refusal(self, address: str, timeout: float) -> bool:
        """Return whether a target refuses connections because it has ended.

        A daemon whose path is lost may be refused connections to living targets, so a
        refusal counts only at a daemon that reaches other targets: another one, or this
        one if no other answers. Silence of other daemons says nothing about a target,
        as they may be lost themselves.
        """
        judgement = await self._judge_refusal(address, timeout)
        logger.bind(address=address, judgement=judgement.value).info(
            "connection refused by a target that was sent requests"
        )
        return judgement.means_loss

    async def _judge_refusal(self, address: str, timeout: float) -> RefusalJudgement:
        try:
            connection = await self._tunnels.connect(address, timeout)
        except ConnectionRefusedError:
            return RefusalJudgement.REFUSED_ELSEWHERE
        except NoHelperError:
            if await self.reaches_others(address):
                return RefusalJudgement.OWN_PATH_SOUND
            return RefusalJudgement.OWN_PATH_LOST
        except OSError:
            return RefusalJudgement.NOT_CONFIRMED
        connection.close()
        return RefusalJudgement.NOT_CONFIRMED

    async def reaches_others(self, address: str) -> bool:
        """Return whether this daemon can connect to targets at other addresses.

        Without other targets nothing speaks against it.
        """
        others = [each for each in self._list_addresses() if each != address]
        sample = self._rng.sample(others, min(len(others), MAX_PROBED))
        return not others or await self._probe_any(sample)

    async def connect_directly(self, address: str, timeout: float) -> TargetConnection:
        """Open a connection on the daemon's own path.

        Raises
        ------
        OSError
            The connection could not be opened; nothing was sent.
        TimeoutError
            The connection was not opened in time; nothing was sent.
        """
        try:
            connection = await connect_to_target(address, timeout)
        except (OSError, TimeoutError):
            self._monitor.record_failure(address, get_time())
            self._check_path()
            raise
        self._monitor.record_success()
        return connection

    def _check_path(self) -> None:
        """Start to find out whether the path is lost, if it is in doubt."""
        if self._monitor.is_in_doubt and self._check is None:
            self._check = asyncio.create_task(self._confirm_loss())

    async def _learn_of_loss(self) -> bool:
        """Return whether the path is lost; wait until it is known if it is in doubt."""
        if self._check is not None:
            await asyncio.shield(self._check)
        return self._monitor.is_lost

    async def _confirm_loss(self) -> None:
        try:
            if not await self._probe_path():
                self._monitor.record_loss()
        finally:
            self._check = None

    async def _probe_path(self) -> bool:
        """Try to connect to some targets; return whether it worked with any."""
        addresses = tuple(self._list_addresses())
        sample = self._rng.sample(addresses, min(len(addresses), MAX_PROBED))
        return await self._probe_any(sample)

    async def _probe_any(self, addresses: Iterable[str]) -> bool:
        """Try to connect to some targets at once; return whether it worked with any."""
        probes = [asyncio.create_task(self._probe(each)) for each in addresses]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return True
            return False
        finally:
            for task in probes:
                task.cancel()

    async def _probe(self, address: str) -> bool:
        try:
            connection = await self.connect_directly(address, PROBE_TIMEOUT)
        except (OSError, TimeoutError):
            return False
        connection.close()
        return True
