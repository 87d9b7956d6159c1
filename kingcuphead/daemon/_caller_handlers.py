"""The callers' HTTP server."""

import asyncio
import dataclasses
import itertools
import secrets
import time
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from expression import Result
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from kingcuphead.api import (
    REQUEST_ID_ENTROPY_BYTES,
    describe_refusal,
    make_request_id,
    parse_request_id,
)
from kingcuphead.daemon._request_body import RequestBody
from kingcuphead.pipeline import Gateway, Received
from kingcuphead.verdict import Execution, Reason, Verdict

#: Seconds for which the rest of a refused body is read before the connection closes.
LINGER_SECONDS = 1.0

#: Serves one request for one caller.
Serve = Callable[["Received", "HttpCaller"], Coroutine[Any, Any, None]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerServerSettings:
    """Bounds of the callers' server."""

    #: Largest request body in bytes.
    body_bytes: int


class HttpCaller:
    """The caller's side of one request, on tornado's connection."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Begin the answer."""
        self._handler.set_status(status)
        for name, value in headers.items():
            self._handler.set_header(name, value)

    async def write(self, content: bytes) -> None:
        """Send a part of the answer and wait until the connection takes more."""
        self._handler.write(content)
        await self._handler.flush()

    async def finish(self) -> None:
        """End the answer."""
        await self._handler.finish()


@stream_request_body
class CallerHandler(RequestHandler):
    """Reads a request whole, within bounds, and ends it when the caller hangs up."""

    def initialize(self, gateway: Gateway, settings: CallerServerSettings) -> None:
        """Take what the application shares."""
        self._gateway = gateway
        self._settings = settings
        self._body = RequestBody(settings.body_bytes)
        self._refused = False
        self._task: asyncio.Task[None] | None = None
        self._request_id = ""

    def set_default_headers(self) -> None:
        """Name no server software."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Check the request id and the announced size before the body comes."""
        match parse_request_id(self.request.headers):
            case Result(tag="ok", ok=given):
                entropy = secrets.token_bytes(REQUEST_ID_ENTROPY_BYTES)
                self._request_id = given or make_request_id(entropy)
            case Result(error=verdict):
                entropy = secrets.token_bytes(REQUEST_ID_ENTROPY_BYTES)
                self._request_id = make_request_id(entropy)
                self._refuse(verdict)
                return
        self._body.announce(self.request.headers.get("Content-Length", ""))
        self._check_size()

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, within bounds."""
        if self._finished:
            return
        self._body.add(chunk)
        self._check_size()

    def on_connection_close(self) -> None:
        """End the work of a caller that hung up."""
        if self._task is not None:
            self._task.cancel()

    async def run(self, serve: Serve) -> None:
        """Run the request path until it ends or the caller hangs up."""
        if self._refused:
            await self.finish()
            self.request.connection.close()  # type: ignore[union-attr]
            return
        self._task = asyncio.create_task(serve(self.receive(), HttpCaller(self)))
        try:
            await self._task
        except StreamClosedError:
            pass
        except asyncio.CancelledError:
            # Only the caller's hanging up cancels this task.
            if not self._task.cancelled():
                raise

    def receive(self) -> Received:
        """Return the request as the request path takes it."""
        return Received(
            request_id=self._request_id,
            operation_id=f"{self._request_id}#{next(_operation_numbers)}",
            method=self.request.method or "",
            path=self.request.uri or "/",
            headers=self.request.headers,
            body=self._body.content,
            received_at=time.monotonic(),
        )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer a fault of the daemon itself in the API's error shape."""
        detail = f"the daemon answered with status {status_code}"
        reason = Reason.INVALID_REQUEST if status_code < 500 else Reason.TARGET_FAILED
        execution = Execution.NOT_RUN if status_code < 500 else Execution.MAY_HAVE_RUN
        refusal = describe_refusal(Verdict(execution, reason, detail), self._request_id)
        for name, value in refusal.headers.items():
            self.set_header(name, value)
        self.finish(refusal.body)

    def _check_size(self) -> None:
        """Refuse a body that is too large at once, but go on reading it.

        A connection that is closed while the caller sends would take the refusal
        with it.
        """
        if self._body.is_oversized and not self._refused:
            self._refused = True
            detail = f"the body is larger than {self._settings.body_bytes} bytes"
            verdict = Verdict(Execution.NOT_RUN, Reason.REQUEST_TOO_LARGE, detail)
            self.write(self._start_refusal(verdict))
            self.flush()
            IOLoop.current().call_later(LINGER_SECONDS, self._end_refusal)
        if self._body.is_endless:
            self._end_refusal()

    def _end_refusal(self) -> None:
        if not self._finished:
            self.finish()

    def _refuse(self, verdict: Verdict) -> None:
        self.finish(self._start_refusal(verdict))

    def _start_refusal(self, verdict: Verdict) -> bytes:
        """Set status and headers of a refusal, and return its body."""
        refusal = describe_refusal(verdict, self._request_id)
        self.set_status(refusal.status)
        for name, value in refusal.headers.items():
            self.set_header(name, value)
        self.set_header("Content-Length", str(len(refusal.body)))
        self.set_header("Connection", "close")
        return refusal.body


_operation_numbers = itertools.count(1)


class ChatHandler(CallerHandler):
    """`POST /v1/chat/completions`."""

    async def post(self) -> None:
        """Serve a chat request."""
        await self.run(self._gateway.serve_chat)


class ModelsHandler(CallerHandler):
    """`GET /v1/models`."""

    async def get(self) -> None:
        """List the models that the caller may use."""
        match self._gateway.list_models(self.receive()):
            case Result(tag="ok", ok=body):
                self.set_header("Content-Type", "application/json")
                self.set_header("X-Request-Id", self._request_id)
                await self.finish(body)
            case Result(error=verdict):
                self._refuse(verdict)


class ServiceHandler(CallerHandler):
    """`/services/NAME/...`, any method."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    async def get(self, name: str, rest: str) -> None:
        """Serve a call to a plain service."""
        query = f"?{self.request.query}" if self.request.query else ""
        path = f"/{rest}{query}"
        await self.run(
            lambda received, caller: self._gateway.serve_service(
                received, caller, name, path
            )
        )

    head = post = put = patch = delete = options = get


class UnknownPathHandler(CallerHandler):
    """Every other path."""

    def prepare(self) -> None:
        """Refuse the request."""
        super().prepare()
        if not self._finished:
            detail = "no such path"
            self._refuse(Verdict(Execution.NOT_RUN, Reason.SERVICE_NOT_FOUND, detail))


def make_caller_application(
    gateway: Gateway, settings: CallerServerSettings
) -> Application:
    """Return the application that callers reach."""
    shared = {"gateway": gateway, "settings": settings}
    return Application(
        [
            (r"/v1/chat/completions", ChatHandler, shared),
            (r"/v1/models", ModelsHandler, shared),
            (r"/services/([A-Za-z0-9._-]+)/(.*)", ServiceHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=shared,
        log_function=_ignore,
    )


def _ignore(handler: RequestHandler) -> None:
    """Log nothing here: the request path logs each request's end."""
