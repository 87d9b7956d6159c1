"""HTTP server for callers."""

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

#: Seconds for which the rest of a refused body is read before the connection is
#: closed (lingering close).
LINGER_SECONDS = 1.0

#: Coroutine function that serves one request and writes the answer to its caller.
ServeFunction = Callable[["Received", "HttpCaller"], Coroutine[Any, Any, None]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerServerSettings:
    """Limits of the server for callers."""

    #: Maximum size of a request body in bytes.
    body_bytes: int


class HttpCaller:
    """Writes the answer to one request to the caller's Tornado connection."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Set the status and the headers of the answer."""
        self._handler.set_status(status)
        for name, value in headers.items():
            self._handler.set_header(name, value)

    async def write(self, content: bytes) -> None:
        """Send a part of the answer; wait if the connection applies backpressure."""
        self._handler.write(content)
        await self._handler.flush()

    async def finish(self) -> None:
        """End the answer."""
        await self._handler.finish()


@stream_request_body
class CallerHandler(RequestHandler):
    """Buffers a request body up to a limit; cancels the request on disconnection."""

    def initialize(self, gateway: Gateway, settings: CallerServerSettings) -> None:
        """Set the dependencies that all handlers share."""
        self._gateway = gateway
        self._settings = settings
        self._body = RequestBody(settings.body_bytes)
        self._is_refused = False
        self._task: asyncio.Task[None] | None = None
        self._request_id = ""

    def set_default_headers(self) -> None:
        """Omit the Server header, which would name the server software."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Check the request id and the declared size before the body is received."""
        match parse_request_id(self.request.headers):
            case Result(tag="ok", ok=given):
                entropy = secrets.token_bytes(REQUEST_ID_ENTROPY_BYTES)
                self._request_id = given or make_request_id(entropy)
            case Result(error=verdict):
                entropy = secrets.token_bytes(REQUEST_ID_ENTROPY_BYTES)
                self._request_id = make_request_id(entropy)
                self._refuse(verdict)
                return
        self._body.declare_size(self.request.headers.get("Content-Length", ""))
        self._check_size()

    def data_received(self, chunk: bytes) -> None:
        """Buffer a part of the body and check the size limit."""
        if self._finished:
            return
        self._body.add(chunk)
        self._check_size()

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that disconnected."""
        if self._task is not None:
            self._task.cancel()

    async def run(self, serve: ServeFunction) -> None:
        """Run the request path until it ends or the caller disconnects."""
        if self._is_refused:
            await self.finish()
            self.request.connection.close()  # type: ignore[union-attr]
            return
        self._task = asyncio.create_task(serve(self.build_received(), HttpCaller(self)))
        try:
            await self._task
        except StreamClosedError:
            pass
        except asyncio.CancelledError:
            # `_task` is cancelled only if the caller disconnects.
            if not self._task.cancelled():
                raise

    def build_received(self) -> Received:
        """Return the request in the form that the request path expects."""
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
        """Respond to an error of the daemon itself in the error format of the API."""
        detail = f"the daemon answered with status {status_code}"
        reason = Reason.INVALID_REQUEST if status_code < 500 else Reason.TARGET_FAILED
        execution = Execution.NOT_RUN if status_code < 500 else Execution.MAY_HAVE_RUN
        refusal = describe_refusal(Verdict(execution, reason, detail), self._request_id)
        for name, value in refusal.headers.items():
            self.set_header(name, value)
        self.finish(refusal.body)

    def _check_size(self) -> None:
        """Refuse a body that is too large at once, but continue to read it.

        If the connection were closed while the caller still sends, the caller would
        get a connection reset and lose the refusal.
        """
        if self._body.is_oversized and not self._is_refused:
            self._is_refused = True
            detail = f"the body is larger than {self._settings.body_bytes} bytes"
            verdict = Verdict(Execution.NOT_RUN, Reason.REQUEST_TOO_LARGE, detail)
            self.write(self._start_refusal(verdict))
            self.flush()
            IOLoop.current().call_later(LINGER_SECONDS, self._end_refusal)
        if self._body.exceeds_drain_limit:
            self._end_refusal()

    def _end_refusal(self) -> None:
        if not self._finished:
            self.finish()

    def _refuse(self, verdict: Verdict) -> None:
        self.finish(self._start_refusal(verdict))

    def _start_refusal(self, verdict: Verdict) -> bytes:
        """Set the status and the headers of a refusal and return its body."""
        refusal = describe_refusal(verdict, self._request_id)
        self.set_status(refusal.status)
        for name, value in refusal.headers.items():
            self.set_header(name, value)
        self.set_header("Content-Length", str(len(refusal.body)))
        self.set_header("Connection", "close")
        return refusal.body


_operation_numbers = itertools.count(1)


class ChatHandler(CallerHandler):
    """Handles `POST /v1/chat/completions`."""

    async def post(self) -> None:
        """Serve a chat request."""
        await self.run(self._gateway.serve_chat)


class ModelsHandler(CallerHandler):
    """Handles `GET /v1/models`."""

    async def get(self) -> None:
        """List the models that the organisation of the caller may use."""
        match self._gateway.list_models(self.build_received()):
            case Result(tag="ok", ok=body):
                self.set_header("Content-Type", "application/json")
                self.set_header("X-Request-Id", self._request_id)
                await self.finish(body)
            case Result(error=verdict):
                self._refuse(verdict)


class ServiceHandler(CallerHandler):
    """Handles `/services/NAME/...` with any method."""

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
    """Refuses requests for any other path."""

    def prepare(self) -> None:
        """Refuse the request for its unknown path unless its response has ended."""
        super().prepare()
        if not self._finished:
            detail = "unknown path"
            self._refuse(Verdict(Execution.NOT_RUN, Reason.SERVICE_NOT_FOUND, detail))


def make_caller_application(
    gateway: Gateway, settings: CallerServerSettings
) -> Application:
    """Return the Tornado application for callers."""
    dependencies = {"gateway": gateway, "settings": settings}
    return Application(
        [
            (r"/v1/chat/completions", ChatHandler, dependencies),
            (r"/v1/models", ModelsHandler, dependencies),
            (r"/services/([A-Za-z0-9._-]+)/(.*)", ServiceHandler, dependencies),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=dependencies,
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: RequestHandler) -> None:
    """Do nothing, as the request path logs the end of each request."""
