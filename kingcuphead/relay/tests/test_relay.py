import asyncio

from kingcuphead.relay import Relay, RelayRequest
from kingcuphead.verdict import Execution, Reason


async def answer(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour")
    await writer.drain()
    writer.close()


class TestRelay:
    def test_streams_an_answer(self):
        async def scenario():
            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            relay = Relay()
            request = RelayRequest(f"{host}:{port}", "GET", "/x")
            stream = (await relay.open(request)).ok
            body = b"".join([block async for block in stream])
            assert (stream.head.status, body, stream.is_complete) == (
                200,
                b"four",
                True,
            )
            stream.close()
            relay.close()
            server.close()

        asyncio.run(scenario())

    def test_refused_connection_is_not_run(self):
        async def scenario():
            relay = Relay()
            opened = await relay.open(RelayRequest("127.0.0.1:1", "GET", "/"))
            relay.close()
            return opened.error

        verdict = asyncio.run(scenario())
        assert (verdict.execution, verdict.reason) == (
            Execution.NOT_RUN,
            Reason.TARGET_FAILED,
        )
