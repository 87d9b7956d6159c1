import asyncio
import socket

import pytest
from tornado.ioloop import IOLoop

from kingcuphead.relay._sockets import MAX_EMPTY_BATCHES, SocketPoller

BATCH_SECONDS = 0.01


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


class TestSocketPoller:
    @pytest.mark.parametrize(
        "pause", [0.0, BATCH_SECONDS * (MAX_EMPTY_BATCHES + 4)], ids=["busy", "quiet"]
    )
    def test_handles_every_event(self, pause):
        received = []

        async def main():
            pairs = [socket.socketpair() for _ in range(3)]
            readers = {reader.fileno(): reader for _, reader in pairs}
            poller = SocketPoller(
                IOLoop.current(),
                BATCH_SECONDS,
                lambda fd, _: received.append(readers[fd].recv(1)),
            )
            for fd in readers:
                poller.watch(fd, IOLoop.READ)
            for count in range(1, 9):
                for writer, _ in pairs:
                    writer.send(b"x")
                await asyncio.sleep(pause)
                await wait_until(lambda expected=count: len(received) == 3 * expected)
            poller.close()
            for writer, reader in pairs:
                writer.close()
                reader.close()

        asyncio.run(main())
        assert received == [b"x"] * 24

    def test_a_reused_descriptor_number_is_registered_again(self):
        received = []

        async def main():
            writer, reader = socket.socketpair()
            poller = SocketPoller(
                IOLoop.current(), BATCH_SECONDS, lambda fd, _: received.append(fd)
            )
            poller.watch(reader.fileno(), IOLoop.READ)
            number = reader.fileno()
            reader.close()
            writer.close()
            writer, reader = socket.socketpair()
            other = {reader.fileno(): reader, writer.fileno(): writer}
            assert number in other
            poller.watch(number, IOLoop.WRITE)
            await wait_until(lambda: received)
            poller.unwatch(number)
            poller.close()
            writer.close()
            reader.close()

        asyncio.run(main())
        assert len(set(received)) == 1
