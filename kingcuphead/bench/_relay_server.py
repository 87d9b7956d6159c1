"""The process under measurement: one way of relaying, chosen by name."""

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

#: More streams than any run opens.
_MAX_CLIENTS = 1000


class _Cpu(RequestHandler):
    """Reports the processor time of this process, in seconds."""

    def get(self) -> None:
        """Answer with the time."""
        self.write(str(time.process_time()))


class _DefaultClient(RequestHandler):
    """The plain relay: tornado's default client, one write for each piece."""

    def initialize(self, target: str) -> None:
        """Keep what the requests share."""
        self._target = target
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(max_clients=_MAX_CLIENTS)

    async def post(self) -> None:
        """Relay one answer."""
        await self._client.fetch(
            HTTPRequest(
                f"http://{self._target}/",
                method="POST",
                body=self.request.body,
                request_timeout=0,
                streaming_callback=self._pass,
            )
        )

    async def _pass(self, chunk: bytes) -> None:
        self.write(chunk)
        await self.flush()


class _CurlClient(_DefaultClient):
    """Tornado's curl client, whose callback can't be awaited."""

    def initialize(self, target: str) -> None:
        """Keep what the requests share."""
        self._target = target
        self._client = CurlAsyncHTTPClient(max_clients=_MAX_CLIENTS)

    async def post(self) -> None:
        """Relay one answer."""
        await self._client.fetch(
            HTTPRequest(
                f"http://{self._target}/",
                method="POST",
                body=self.request.body,
                request_timeout=0,
                streaming_callback=self._pass_at_once,
            )
        )

    def _pass_at_once(self, chunk: bytes) -> None:
        self.write(chunk)
        self.flush()


class _ProductRelay(RequestHandler):
    """The relay of the product: events inspected, the end withheld, then passed."""

    def initialize(self, target: str, relay: Relay) -> None:
        """Keep what the requests share."""
        self._target = target
        self._relay = relay

    async def post(self) -> None:
        """Relay one answer."""
        request = RelayRequest(
            self._target, "POST", "/", body=self.request.body, idempotent=True
        )
        stream = (await self._relay.open(request)).ok
        answer = AnswerStream(include_usage=True)
        async for block in stream:
            passed = answer.feed(block)
            if passed:
                self.write(passed)
                await self.flush()
        self.write(answer.finish().ok.tail)
        stream.close()


#: Ways of relaying by name.
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
        (r"/cpu", _Cpu),
        (r"/.*", VARIANTS[arguments.variant], settings),
    ]
    server = HTTPServer(Application(routes))
    server.listen(arguments.port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(_make_parser().parse_args()))
