"""Outgoing connections to peers."""

import asyncio
import collections
from collections.abc import Callable

from loguru import logger
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from kingcuphead.peers._frames import add_length

#: Messages that wait for one peer; the oldest is dropped when one more arrives.
MAX_WAITING_MESSAGES = 4096
#: Seconds to open a connection.
CONNECT_TIMEOUT = 1.0
#: Seconds between two looks at a link that has to send what waits.
FLUSH_INTERVAL = 0.01
#: Seconds that a link without messages stays open.
IDLE_TIMEOUT = 60.0


class PeerLinks:
    """Sends frames to peers, one task and one connection for each address.

    Messages are not acknowledged here: one that is lost is sent again by the state
    machine that needs its answer.
    """

    def __init__(self) -> None:
        self._client = TCPClient()
        self._links: dict[str, _Link] = {}

    def send(self, address: str, payload: bytes) -> None:
        """Queue one frame for a peer.

        Parameters
        ----------
        address
            IP number and port.
        payload
            An encoded envelope.
        """
        link = self._links.get(address)
        if link is None:
            link = _Link(address, self._client, self._remove)
            self._links[address] = link
        link.put(payload)

    async def close(self, timeout: float) -> None:
        """Send what waits, for at most `timeout` seconds, and close every link."""
        links = tuple(self._links.values())
        await asyncio.gather(*(link.finish(timeout) for link in links))

    def _remove(self, address: str) -> None:
        self._links.pop(address, None)


class _Link:
    """The queue, the task and the socket for one peer."""

    def __init__(
        self, address: str, client: TCPClient, remove: Callable[[str], None]
    ) -> None:
        self._address = address
        self._client = client
        self._remove = remove
        self._waiting: collections.deque[bytes] = collections.deque(
            maxlen=MAX_WAITING_MESSAGES
        )
        self._arrived = asyncio.Event()
        self._writing = False
        self._task = asyncio.create_task(self._run())

    def put(self, payload: bytes) -> None:
        self._waiting.append(add_length(payload))
        self._arrived.set()

    async def finish(self, timeout: float) -> None:
        deadline = asyncio.get_running_loop().time() + timeout
        while self._is_busy() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(FLUSH_INTERVAL)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def _is_busy(self) -> bool:
        return not self._task.done() and (bool(self._waiting) or self._writing)

    async def _run(self) -> None:
        try:
            await self._send_all()
        except (OSError, StreamClosedError, TimeoutError) as error:
            logger.debug("link to {} ended: {}", self._address, error)
        finally:
            # What waits is dropped: it would be stale after a reconnection.
            self._remove(self._address)

    async def _send_all(self) -> None:
        host, port = self._address.rsplit(":", 1)
        stream = await self._client.connect(host, int(port), timeout=CONNECT_TIMEOUT)
        stream.set_nodelay(True)
        try:
            while await self._wait():
                batch = b"".join(self._waiting)
                self._waiting.clear()
                self._writing = True
                await stream.write(batch)
                self._writing = False
        finally:
            stream.close()

    async def _wait(self) -> bool:
        """Wait for a message; return False when the link has been idle."""
        if self._waiting:
            return True
        self._arrived.clear()
        try:
            await asyncio.wait_for(self._arrived.wait(), IDLE_TIMEOUT)
        except TimeoutError:
            return False
        return True
