import asyncio
import socket

import pytest
from tornado.ioloop import IOLoop

from kingcuphead.relay._sockets import QUIET_GATHERINGS, SocketWatch

GATHER_SECONDS = 0.01


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


class TestSocketWatch:
    @pytest.mark.parametrize(
        "pause", [0.0, GATHER_SECONDS * (QUIET_GATHERINGS + 4)], ids=["busy", "quiet"]
    )
    def test_handles_every_event(self, pause):
        received = []

        async def main():
            pairs = [socket.socketpair() for _ in range(3)]
            readers = {reader.fileno(): reader for _, reader in pairs}
            watch = SocketWatch(
                IOLoop.current(),
                GATHER_SECONDS,
                lambda fd, _: received.append(readers[fd].recv(1)),
            )
            for fd in readers:
                watch.watch(fd, IOLoop.READ)
            for count in range(1, 9):
                for writer, _ in pairs:
                    writer.send(b"x")
                await asyncio.sleep(pause)
                await wait_until(lambda wanted=count: len(received) == 3 * wanted)
            watch.close()
            for writer, reader in pairs:
                writer.close()
                reader.close()

        asyncio.run(main())
        assert received == [b"x"] * 24

    def test_a_number_used_again_is_watched_anew(self):
        received = []

        async def main():
            writer, reader = socket.socketpair()
            watch = SocketWatch(
                IOLoop.current(), GATHER_SECONDS, lambda fd, _: received.append(fd)
            )
            watch.watch(reader.fileno(), IOLoop.READ)
            number = reader.fileno()
            reader.close()
            writer.close()
            writer, reader = socket.socketpair()
            other = {reader.fileno(): reader, writer.fileno(): writer}
            assert number in other
            watch.watch(number, IOLoop.WRITE)
            await wait_until(lambda: received)
            watch.unwatch(number)
            watch.close()
            writer.close()
            reader.close()

        asyncio.run(main())
        assert len(set(received)) == 1
