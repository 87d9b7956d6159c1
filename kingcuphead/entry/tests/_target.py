"""A target that ends when it begins to run a certain request, and starts again."""

import asyncio
import contextlib

from kingcuphead.platform.tests._documents import make_answer

#: Seconds for which a crashed target is down.
DOWN_SECONDS = 0.4
#: Body of the request under which targets crash.
CRASHING_BODY = b"crash"


class CrashingTarget:
    """Answers every request except those with `CRASHING_BODY`.

    Parameters
    ----------
    name
        Name of the first incarnation; later ones append their number.
    register
        Called with the name and the address of each incarnation that starts, and with
        the name and None when one is gone.
    """

    def __init__(self, name, register):
        self._base_name = name
        self._register = register
        self._starts = 0
        self._port = 0
        self._server = None
        self._writers = set()
        self._restart = None
        self.name = ""
        #: Number of arrivals of the request that crashes.
        self.crashes = 0

    async def start(self):
        self._starts += 1
        self.name = f"{self._base_name}-{self._starts}"
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, reuse_address=True
        )
        host, self._port = self._server.sockets[0].getsockname()
        self._register(self.name, f"{host}:{self._port}")

    def stop(self):
        if self._restart is not None:
            self._restart.cancel()
        self._disconnect()

    def _disconnect(self):
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def _crash(self):
        self.crashes += 1
        self._disconnect()
        self._restart = asyncio.create_task(self._start_again(self.name))

    async def _start_again(self, previous_name):
        await asyncio.sleep(DOWN_SECONDS)
        self._register(previous_name, None)
        await self.start()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(
                    line.lower().split(": ", 1)
                    for line in head.split("\r\n")[1:]
                    if line
                )
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if body == CRASHING_BODY:
                    self._crash()
                    return
                writer.write(make_answer(headers["attempt-id"], b"ok"))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()
