"""Server of the relay benchmark: runs the relay variant named on the command line."""

import argparse
import asyncio
import time
from collections.abc import Mapping
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

from kingcuphead.api import AnswerStream
from kingcuphead.relay import Relay, RelayLimits, RelayRequest

#: Above the number of streams of any run, so that no request waits for a connection.
_MAX_CLIENTS = 1000


class _CpuTimeHandler(RequestHandler):
    """Serves the processor time of this process, in seconds."""

    def get(self) -> None:
        """Reply with the user and system time since the start."""
        self.write(str(time.process_time()))


class _DefaultClient(RequestHandler):
    """Plain relay with tornado's default client; writes each chunk separately."""

    def initialize(self, target: str) -> None:
        """Store the target address and the client that requests share."""
        self._target = target
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(max_clients=_MAX_CLIENTS)

    async def post(self) -> None:
        """Relay one response from the target to the caller."""
        await self._client.fetch(
            HTTPRequest(
                f"http://{self._target}/",
                method="POST",
                body=self.request.body,
                request_timeout=0,
                streaming_callback=self._forward,
            )
        )

    async def _forward(self, chunk: bytes) -> None:
        self.write(chunk)
        await self.flush()


class _CurlClient(_DefaultClient):
    """Plain relay with tornado's curl client, which does not await its callback."""

    def initialize(self, target: str) -> None:
        """Store the target address and the client that requests share."""
        self._target = target
        self._client = CurlAsyncHTTPClient(max_clients=_MAX_CLIENTS)

    async def post(self) -> None:
        """Relay one response from the target to the caller."""
        await self._client.fetch(
            HTTPRequest(
                f"http://{self._target}/",
                method="POST",
                body=self.request.body,
                request_timeout=0,
                streaming_callback=self._forward_without_waiting,
            )
        )

    def _forward_without_waiting(self, chunk: bytes) -> None:
        self.write(chunk)
        self.flush()


class _ProductRelay(RequestHandler):
    """The product's relay, which inspects the events of an answer.

    It withholds the end of the answer until everything before it is sent.
    """

    def initialize(self, target: str, relay: Relay) -> None:
        """Store the target address and the relay that requests share."""
        self._target = target
        self._relay = relay

    async def post(self) -> None:
        """Relay one response from the target to the caller."""
        request = RelayRequest(
            self._target, "POST", "/", body=self.request.body, idempotent=True
        )
        stream = (await self._relay.open(request)).ok
        answer = AnswerStream(include_usage=True)
        async for block in stream:
            forwarded = answer.feed(block)
            if forwarded:
                self.write(forwarded)
                await self.flush()
        self.write(answer.finish().ok.tail)
        stream.close()


#: Handlers of the relay variants, by name.
VARIANTS: Mapping[str, type[RequestHandler]] = {
    "default": _DefaultClient,
    "curl": _CurlClient,
    "ungathered": _ProductRelay,
    "product": _ProductRelay,
}


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True)
    parser.add_argument("--variant", choices=sorted(VARIANTS), required=True)
    return parser


async def _serve(arguments: argparse.Namespace) -> None:
    settings: dict[str, object] = {"target": arguments.target}
    match arguments.variant:
        case "product":
            settings["relay"] = Relay()
        case "ungathered":
            settings["relay"] = Relay(RelayLimits(batch_seconds=0.0))
    routes: list[Any] = [
        (r"/cpu", _CpuTimeHandler),
        (r"/.*", VARIANTS[arguments.variant], settings),
    ]
    server = HTTPServer(Application(routes))
    server.listen(arguments.port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(_make_parser().parse_args()))
