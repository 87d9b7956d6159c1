"""Outgoing connections to peers and their message queues."""

import asyncio
import collections
from collections.abc import Callable

from loguru import logger
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from kingcuphead.peers._frames import add_length

#: Maximum number of messages queued for one peer; above it the oldest is dropped.
MAX_QUEUED_MESSAGES = 4096
#: Timeout for opening a connection.
CONNECT_TIMEOUT_SECONDS = 1.0
#: Poll interval while a link that is being closed still has unsent messages.
CLOSE_POLL_SECONDS = 0.01
#: Time without messages after which a link closes its connection.
IDLE_TIMEOUT_SECONDS = 60.0


class PeerLinks:
    """Sends frames to peers, one task and one connection for each address.

    Delivery is not acknowledged at this level. The state machine that expects a reply
    retries after a loss.
    """

    def __init__(self) -> None:
        self._client = TCPClient()
        self._links: dict[str, _Link] = {}

    def send(self, address: str, payload: bytes) -> None:
        """Queue a message for a peer, opening a link if there is none.

        Parameters
        ----------
        address
            IP address and port of the peer, `IP:PORT`.
        payload
            An encoded envelope.
        """
        link = self._links.get(address)
        if link is None:
            link = _Link(address, self._client, self._remove)
            self._links[address] = link
        link.enqueue(payload)

    async def close(self, timeout: float) -> None:
        """Send queued messages for at most `timeout` seconds, then close all links."""
        links = tuple(self._links.values())
        await asyncio.gather(*(link.close(timeout) for link in links))

    def _remove(self, address: str) -> None:
        self._links.pop(address, None)


class _Link:
    """Queue, sender task and connection for one peer."""

    def __init__(
        self, address: str, client: TCPClient, remove: Callable[[str], None]
    ) -> None:
        self._address = address
        self._client = client
        self._remove = remove
        self._queued: collections.deque[bytes] = collections.deque(
            maxlen=MAX_QUEUED_MESSAGES
        )
        self._message_queued = asyncio.Event()
        self._writing = False
        self._task = asyncio.create_task(self._run())

    def enqueue(self, payload: bytes) -> None:
        self._queued.append(add_length(payload))
        self._message_queued.set()

    async def close(self, timeout: float) -> None:
        deadline = asyncio.get_running_loop().time() + timeout
        while self._has_unsent() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(CLOSE_POLL_SECONDS)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def _has_unsent(self) -> bool:
        return not self._task.done() and (bool(self._queued) or self._writing)

    async def _run(self) -> None:
        try:
            await self._connect_and_send()
        except (OSError, StreamClosedError, TimeoutError) as error:
            logger.debug("connection to peer {} ended: {}", self._address, error)
        finally:
            # Queued messages are dropped: they would be stale after a reconnect.
            self._remove(self._address)

    async def _connect_and_send(self) -> None:
        host, port = self._address.rsplit(":", 1)
        stream = await self._client.connect(
            host, int(port), timeout=CONNECT_TIMEOUT_SECONDS
        )
        stream.set_nodelay(True)
        try:
            while await self._wait_for_message():
                batch = b"".join(self._queued)
                self._queued.clear()
                self._writing = True
                await stream.write(batch)
                self._writing = False
        finally:
            stream.close()

    async def _wait_for_message(self) -> bool:
        """Wait for a queued message; return False after the idle timeout."""
        if self._queued:
            return True
        self._message_queued.clear()
        try:
            await asyncio.wait_for(self._message_queued.wait(), IDLE_TIMEOUT_SECONDS)
        except TimeoutError:
            return False
        return True
