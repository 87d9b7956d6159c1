import asyncio
import random

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.testing import bind_unused_port

from kingcuphead.forwarding.tests._target import Endless, ScriptedTarget
from kingcuphead.paths import Connector, PathMonitor, PeerPaths, TunnelServer
from kingcuphead.paths._frames import read_message, write_message
from kingcuphead.paths._messages import TunnelAnswered, TunnelAsked, TunnelOutcome
from kingcuphead.paths._server import BLOCK_BYTES

#: Bytes that one read may bring beyond the bound.
READ_BYTES = 65_536


async def open_tunnel(port: int, address: str) -> IOStream:
    """Ask for a tunnel, and send a request through it whose answer nobody reads."""
    stream = await TCPClient().connect("127.0.0.1", port)
    await write_message(stream, TunnelAsked(address))
    answer = await read_message(stream, TunnelAnswered)
    assert answer.outcome is TunnelOutcome.OPENED
    await stream.write(b"GET / HTTP/1.1\r\n\r\n")
    return stream


class TestTunnelsToEndlessTargets:
    """Guards against a daemon that helps and runs out of memory by doing so."""

    def test_a_tunnel_holds_little_while_the_other_daemon_does_not_read(self):
        async def play():
            count = 20
            target = ScriptedTarget()
            target.script = [[Endless(b"x" * 65_536)]] * count
            address = (await target.start()).address
            monitor = PathMonitor()
            connector = Connector(
                monitor, PeerPaths(random.Random(1)), lambda: (), random.Random(1)
            )
            opened = []
            connect = connector.connect_directly

            async def record(address, timeout):
                opened.append(await connect(address, timeout))
                return opened[-1]

            connector.connect_directly = record  # type: ignore[method-assign]
            server = TunnelServer(connector, monitor, lambda address: True)
            sock, port = bind_unused_port()
            sock.close()
            server.listen("127.0.0.1", port)
            tunnels = [await open_tunnel(port, address) for _ in range(count)]
            await asyncio.sleep(0.5)
            held = [len(each.stream._buffer) for each in opened]
            assert len(held) == count
            assert max(held) <= BLOCK_BYTES + READ_BYTES
            for tunnel in tunnels:
                tunnel.close()
            server.close()
            target.end()
            await asyncio.sleep(0)

        async def main():
            async with asyncio.timeout(20):
                await play()

        try:
            asyncio.run(main())
        except StreamClosedError:
            raise AssertionError("a tunnel was closed") from None
