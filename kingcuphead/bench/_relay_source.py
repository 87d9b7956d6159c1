"""Stand-in for an engine that streams tokens at a constant rate."""

import argparse
import asyncio
import random
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

_TOKEN = (
    b'data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,'
    b'"model":"m","choices":[{"index":0,"delta":{"content":" load"},'
    b'"logprobs":null,"finish_reason":null}],'
    b'"usage":{"prompt_tokens":9,"completion_tokens":7}}\n\n'
)
_END = (
    b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],'
    b'"usage":{"prompt_tokens":9,"completion_tokens":7}}\n\ndata: [DONE]\n\n'
)


class _TokenStreamHandler(RequestHandler):
    """Streams `tokens` events at `rate` events per second."""

    def initialize(self, tokens: int, rate: float) -> None:
        """Store the length and the interval of the stream."""
        self._tokens = tokens
        self._interval = 1 / rate

    async def post(self) -> None:
        """Stream the events, each in its own chunk."""
        self.set_header("Content-Type", "text/event-stream")
        loop = asyncio.get_running_loop()
        due = loop.time() + random.random() * self._interval
        for _ in range(self._tokens):
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.write(_TOKEN)
            await self.flush()
            due += self._interval
        self.write(_END)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--tokens", type=int, required=True)
    parser.add_argument("--rate", type=float, required=True)
    return parser


async def _serve(arguments: argparse.Namespace) -> None:
    settings: dict[str, Any] = {"tokens": arguments.tokens, "rate": arguments.rate}
    server = HTTPServer(Application([(r"/.*", _TokenStreamHandler, settings)]))
    server.listen(arguments.port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(_make_parser().parse_args()))
