"""What every stand-in has in common: decoding, errors, start and stop."""

import argparse
import asyncio
import signal
from typing import Any, TypeVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, HTTPError, RequestHandler

T = TypeVar("T")

#: The one address that stand-ins listen on.
LOOPBACK = "127.0.0.1"
#: Largest request that a stand-in reads, in bytes.
MAX_REQUEST_BYTES = 64 * 1024 * 1024


class StandInHandler(RequestHandler):
    """Request handler with typed JSON bodies."""

    def decode(self, kind: type[T]) -> T:
        """Decode the request's body.

        Parameters
        ----------
        kind : type
            Type of the body.

        Raises
        ------
        tornado.web.HTTPError
            Status 400 if the body has another shape.
        """
        try:
            return msgspec.json.decode(self.request.body or b"{}", type=kind)
        except msgspec.DecodeError as error:
            raise HTTPError(400, reason=str(error).replace("\n", " ")) from error

    def answer(self, content: Any, status: int = 200) -> None:
        """Finish the request with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(content))

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()

    def write_error(self, status_code: int, **_: Any) -> None:
        """Answer an error in the shape that OpenAI clients read."""
        message = ErrorMessage(self._reason, "stand_in_error", str(status_code))
        self.answer(ErrorBody(message), status_code)

    def log_exception(self, *_: Any) -> None:
        """Keep the stand-in's output to its one line."""


class ErrorMessage(msgspec.Struct, frozen=True):
    """The error of an answer."""

    #: The sentence for people.
    message: str
    #: Kind of error.
    type: str
    #: Machine-readable code.
    code: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an answer that is an error."""

    #: What went wrong.
    error: ErrorMessage


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the option that all stand-ins take."""
    parser = argparse.ArgumentParser(
        description=description,
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    parser.add_argument(
        "--port", type=int, required=True, help="port on the loopback address"
    )
    return parser


def serve(application: Application, port: int, label: str) -> None:
    """Listen until SIGTERM or SIGINT, then exit.

    Parameters
    ----------
    application : tornado.web.Application
        What to serve.
    port : int
        Port on the loopback address.
    label : str
        Name in the line that is printed once the port is open.
    """
    asyncio.run(_serve_until_signal(application, port, label))


async def _serve_until_signal(application: Application, port: int, label: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    server = HTTPServer(application, max_buffer_size=MAX_REQUEST_BYTES)
    server.listen(port, LOOPBACK)
    print(f"{label} listening on {LOOPBACK}:{port}", flush=True)
    await stopped.wait()
    server.stop()
