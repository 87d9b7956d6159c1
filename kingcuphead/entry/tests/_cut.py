"""Cuts daemons of one event loop off from the targets."""

import asyncio
import contextvars
import unittest.mock

from kingcuphead.forwarding import TargetStream

#: Number of the daemon in whose tasks the code runs; 0 in those of the test.
current_daemon = contextvars.ContextVar("current_daemon", default=0)


class TargetCut:
    """Refuses, or leaves hanging, what some daemons try to connect to targets.

    Parameters
    ----------
    fleet
        Fleet whose targets can't be reached.
    daemons
        Numbers of the daemons that are cut off.
    is_hanging
        Whether connections hang, rather than being refused.
    """

    def __init__(self, fleet, daemons, is_hanging):
        self._ports = {target.port for target in fleet.targets}
        self._daemons = daemons
        self._is_hanging = is_hanging
        self._connect = TargetStream.connect
        self.is_active = True
        #: Number of connections to targets that each daemon has opened itself.
        self.direct_connections = dict.fromkeys((1, 2, 3), 0)

    def __enter__(self):
        cut = self

        async def connect(stream, address, *options):
            await cut._check(address)
            return await cut._connect(stream, address, *options)

        self._patch = unittest.mock.patch.object(TargetStream, "connect", connect)
        self._patch.start()
        return self

    def __exit__(self, *error):
        self._patch.stop()

    async def _check(self, address):
        """Let a connection pass, or not."""
        if address[1] not in self._ports:
            return
        daemon = current_daemon.get()
        if self.is_active and daemon in self._daemons:
            if self._is_hanging:
                await asyncio.Event().wait()
            raise ConnectionRefusedError("cut off by the test")
        if daemon in self.direct_connections:
            self.direct_connections[daemon] += 1
