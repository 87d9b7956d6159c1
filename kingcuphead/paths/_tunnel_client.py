"""Asks other daemons for connections to targets."""

import asyncio
from collections.abc import Iterable

from loguru import logger

from kingcuphead.addresses import Address
from kingcuphead.forwarding import TargetConnection, TargetStream, open_stream
from kingcuphead.paths._frames import (
    MalformedMessageError,
    read_message,
    write_message,
)
from kingcuphead.paths._messages import TunnelAnswered, TunnelAsked, TunnelOutcome
from kingcuphead.paths._peers import PeerPaths
from kingcuphead.timing import get_time

#: Number of daemons that are asked for one tunnel.
MAX_HELPERS = 3
#: Seconds after which the next daemon is asked, too, if one hasn't answered. Within the
#: bound on opening a connection, each of `MAX_HELPERS` has time to answer.
HELPER_DELAY = 0.1


class NoHelperError(OSError):
    """No other daemon helps to connect to a target."""

    def __init__(self, address: str) -> None:
        super().__init__(f"no other daemon connects to {address}")
        #: Address of the target.
        self.address = address


class TunnelClient:
    """Opens connections to targets through other daemons.

    Daemons that don't answer delay those that do by `HELPER_DELAY` each; they may be
    frozen, or lost for good.

    Parameters
    ----------
    peer_paths
        Knows which daemons can help.
    """

    def __init__(self, peer_paths: PeerPaths) -> None:
        self._peer_paths = peer_paths

    async def connect(self, address: str, timeout: float) -> TargetConnection:
        """Open a connection through the first daemon that answers.

        Raises
        ------
        NoHelperError
            No other daemon helped in time.
        OSError
            The helping daemon could not connect to the target.
        """
        deadline = get_time() + timeout
        helpers = self._peer_paths.list_helpers(get_time())[:MAX_HELPERS]
        waiting: dict[asyncio.Task[TargetConnection | None], Address] = {}
        try:
            for number, helper in enumerate(helpers, start=1):
                task = asyncio.create_task(self._open_tunnel(helper, address))
                waiting[task] = helper
                is_last = number == len(helpers)
                end = deadline if is_last else get_time() + HELPER_DELAY
                connection = await _wait_for_connection(waiting, min(end, deadline))
                if connection is not None:
                    return connection
                self._record_delay(waiting.values())
            self._record_silence(waiting.values())
        finally:
            for task in waiting:
                task.add_done_callback(_close_unused)
                task.cancel()
        raise NoHelperError(address)

    async def _open_tunnel(
        self, helper: Address, address: str
    ) -> TargetConnection | None:
        """Open a connection through a daemon; None if that daemon can't help.

        Raises
        ------
        OSError
            The helping daemon could not connect to the target.
        """
        stream = open_stream(is_tunnel=True)
        try:
            outcome = await _ask_for_tunnel(stream, helper, address)
        except (OSError, MalformedMessageError) as error:
            cause = f"{type(error).__name__} {error}"
            logger.bind(peer=helper[0], cause=cause).warning("no tunnel")
            outcome = TunnelOutcome.UNAVAILABLE
        except BaseException:
            stream.close()
            raise
        if outcome is TunnelOutcome.OPENED:
            return TargetConnection(stream, helper)
        stream.close()
        match outcome:
            case TunnelOutcome.REFUSED:
                raise ConnectionRefusedError(f"{helper[0]} is refused by {address}")
            case TunnelOutcome.UNREACHABLE | TunnelOutcome.CLOSED:
                raise OSError(f"{helper[0]} can't use {address}: {outcome.value}")
        self._peer_paths.record_failure(helper, get_time())
        return None

    def _record_delay(self, helpers: Iterable[Address]) -> None:
        """Ask other daemons first for a while, whether these answer in time or not."""
        for helper in helpers:
            self._peer_paths.record_failure(helper, get_time())

    def _record_silence(self, helpers: Iterable[Address]) -> None:
        for helper in helpers:
            logger.bind(peer=helper[0], cause="no answer").warning("no tunnel")
            self._peer_paths.record_silence(helper, get_time())


async def _ask_for_tunnel(
    stream: TargetStream, helper: Address, address: str
) -> TunnelOutcome:
    await stream.connect(helper)
    await write_message(stream, TunnelAsked(address))
    answer = await read_message(stream, TunnelAnswered)
    return answer.outcome


async def _wait_for_connection(
    waiting: dict[asyncio.Task[TargetConnection | None], Address], end: float
) -> TargetConnection | None:
    """Return the connection of the first daemon that opens one; None without any.

    Daemons that can't help are removed. Waits until the end or until none is left.

    Raises
    ------
    OSError
        A daemon could not connect to the target.
    """
    while waiting and (remaining := end - get_time()) > 0:
        done, _ = await asyncio.wait(
            waiting, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            connection = task.result()
            del waiting[task]
            if connection is not None:
                return connection
    return None


def _close_unused(task: asyncio.Task[TargetConnection | None]) -> None:
    """Close a connection that another daemon's was used in place of."""
    if task.cancelled() or task.exception() is not None:
        return
    if connection := task.result():
        connection.close()
