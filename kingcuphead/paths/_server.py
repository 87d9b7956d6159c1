"""Helps other daemons: connects to targets for them and passes the bytes on."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from kingcuphead.forwarding import (
    TargetConnection,
    TargetStream,
    is_refusal,
    set_socket_options,
)
from kingcuphead.paths._connector import Connector
from kingcuphead.paths._frames import (
    MalformedMessageError,
    read_message,
    write_message,
)
from kingcuphead.paths._messages import TunnelAnswered, TunnelAsked, TunnelOutcome
from kingcuphead.paths._monitor import PathMonitor

#: Maximum number of open tunnels.
MAX_TUNNELS = 512
#: Bound in seconds on the message that asks for a tunnel.
MESSAGE_TIMEOUT = 1.0
#: Bound in seconds on opening a connection to a target; the daemon that asks waits for
#: the answer, too.
CONNECT_TIMEOUT = 0.15
#: Bytes that are read at once; reading pauses until they are written.
BLOCK_BYTES = 65_536


class TunnelServer:
    """Accepts requests for tunnels.

    A tunnel is opened on this daemon's own path only, so that tunnels never follow one
    another.

    Parameters
    ----------
    connector
        Opens connections to targets.
    monitor
        Tells whether this daemon has a path itself.
    accepts
        Returns whether the target at an address may get requests.
    """

    def __init__(
        self,
        connector: Connector,
        monitor: PathMonitor,
        accepts: Callable[[str], bool],
    ) -> None:
        self._connector = connector
        self._monitor = monitor
        self._accepts = accepts
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_closing = False
        self._server = _Listener(self._start_tunnel)

    @property
    def open_tunnels(self) -> int:
        """Number of tunnels that are open or about to be."""
        return len(self._tasks)

    def listen(self, host: str, port: int) -> None:
        """Bind the port and accept connections."""
        self._server.listen(port, host, backlog=1_024)

    def stop_accepting(self) -> None:
        """Open no more tunnels; those that are open go on."""
        self._is_closing = True

    def close(self) -> None:
        """Close the port and all tunnels."""
        self._server.stop()
        for task in self._tasks:
            task.cancel()

    def _start_tunnel(self, stream: IOStream) -> None:
        task = asyncio.create_task(self._serve(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, stream: IOStream) -> None:
        target: TargetConnection | None = None
        try:
            set_socket_options(stream.socket)
            async with asyncio.timeout(MESSAGE_TIMEOUT):
                asked = await read_message(stream, TunnelAsked)
            target, outcome = await self._connect(asked.address)
            await write_message(stream, TunnelAnswered(outcome))
            if target is not None:
                target.stream.limit_buffer(BLOCK_BYTES)
                await _join(stream, target.stream)
        except (StreamClosedError, TimeoutError):
            logger.debug("tunnel ended before it was open")
        except MalformedMessageError as error:
            logger.warning("cannot decode the request for a tunnel: {}", error)
        finally:
            stream.close()
            if target is not None:
                target.close()

    async def _connect(
        self, address: str
    ) -> tuple[TargetConnection | None, TunnelOutcome]:
        is_busy = len(self._tasks) > MAX_TUNNELS
        if self._is_closing or is_busy or self._monitor.is_lost:
            return None, TunnelOutcome.UNAVAILABLE
        if not self._accepts(address):
            return None, TunnelOutcome.CLOSED
        try:
            connection = await self._connector.connect_directly(
                address, CONNECT_TIMEOUT
            )
        except (OSError, TimeoutError) as error:
            if not await self._connector.reaches_others(address):
                return None, TunnelOutcome.UNAVAILABLE
            if is_refusal(error):
                return None, TunnelOutcome.REFUSED
            return None, TunnelOutcome.UNREACHABLE
        return connection, TunnelOutcome.OPENED


class _Listener(TCPServer):
    def __init__(self, start_tunnel: Callable[[IOStream], None]) -> None:
        super().__init__()
        self._start_tunnel = start_tunnel

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Start the task of one tunnel."""
        self._start_tunnel(stream)


async def _join(first: IOStream, second: TargetStream) -> None:
    """Pass bytes on in both directions until either side closes."""
    copies = {
        asyncio.create_task(_copy(first, second)),
        asyncio.create_task(_copy(second, first)),
    }
    try:
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for copy in copies:
            copy.cancel()


async def _copy(source: IOStream | TargetStream, sink: IOStream | TargetStream) -> None:
    with contextlib.suppress(StreamClosedError):
        while True:
            block = await source.read_bytes(BLOCK_BYTES, partial=True)
            await sink.write(block)
