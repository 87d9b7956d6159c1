"""HTTP server code that all stand-ins share: bodies, errors, start and stop."""

import argparse
import asyncio
import signal
from typing import Any, TypeVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, HTTPError, RequestHandler

T = TypeVar("T")

#: Address that every stand-in listens on.
LOOPBACK = "127.0.0.1"
#: Maximum size of a request, in bytes.
MAX_REQUEST_BYTES = 64 * 1024 * 1024


class StandInHandler(RequestHandler):
    """Base class of request handlers with typed JSON bodies."""

    def decode_body(self, body_type: type[T]) -> T:
        """Decode the JSON body of the request; an empty body counts as ``{}``.

        Parameters
        ----------
        body_type : type
            Type to decode into, such as a msgspec struct.

        Raises
        ------
        tornado.web.HTTPError
            Status 400 if the body is not valid JSON of that type.
        """
        try:
            return msgspec.json.decode(self.request.body or b"{}", type=body_type)
        except msgspec.DecodeError as error:
            raise HTTPError(400, reason=str(error).replace("\n", " ")) from error

    def send_json(self, content: Any, status: int = 200) -> None:
        """Finish the request with a JSON-encoded body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(content))

    def drop_connection(self) -> None:
        """Close the connection without a response."""
        self.detach().close()

    def write_error(self, status_code: int, **_: Any) -> None:
        """Send an error body in the OpenAI format."""
        message = ErrorMessage(self._reason, "stand_in_error", str(status_code))
        self.send_json(ErrorBody(message), status_code)

    def log_exception(self, *_: Any) -> None:
        """Suppress tracebacks; a stand-in prints only its startup line."""


class ErrorMessage(msgspec.Struct, frozen=True):
    """Error object in the OpenAI format."""

    #: Reason of the HTTP status, for people.
    message: str
    #: Error type; always `stand_in_error`.
    type: str
    #: HTTP status as text.
    code: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Response body of a failed request."""

    #: Error in the OpenAI format.
    error: ErrorMessage


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a command-line parser with `--port`, which all stand-ins take."""
    parser = argparse.ArgumentParser(
        description=description,
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    parser.add_argument(
        "--port", type=int, required=True, help="port on the loopback address"
    )
    return parser


def serve(application: Application, port: int, label: str) -> None:
    """Serve HTTP until SIGTERM or SIGINT arrives.

    Parameters
    ----------
    application : tornado.web.Application
        Application with the endpoints of the stand-in.
    port : int
        Port on the loopback address.
    label : str
        Name of the stand-in in the startup line, printed once the port is open.
    """
    asyncio.run(_serve_until_signal(application, port, label))


async def _serve_until_signal(application: Application, port: int, label: str) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    server = HTTPServer(application, max_buffer_size=MAX_REQUEST_BYTES)
    server.listen(port, LOOPBACK)
    print(f"{label} listening on {LOOPBACK}:{port}", flush=True)
    await stop_requested.wait()
    server.stop()
