"""The callers' side: requests are read whole, then served by a task each."""

import asyncio
import http.client
from collections.abc import Callable

from expression import Result
from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from kingcuphead.forwarding import Refusal, RequestForwarder, refuse
from kingcuphead.platform import decode_request, make_refusal_headers
from kingcuphead.routing import CallerLimits
from kingcuphead.verdict import Reason

#: Seconds beyond the configured idle time that a connection is kept.
IDLE_SLACK = 2.0
#: Seconds after which a caller may come back, to another daemon.
SHUTDOWN_RETRY_AFTER = 0.05


class HttpCaller:
    """The answer's way to one caller.

    Parameters
    ----------
    connection
        The connection of the request.
    """

    def __init__(self, connection: HTTPConnection) -> None:
        self._connection = connection
        self.is_answered = False

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of the answer."""
        self.is_answered = True
        reason = http.client.responses.get(status, "Unknown")
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        await self._connection.write_headers(start_line, headers)

    async def write(self, chunk: bytes) -> None:
        """Send bytes of the body; waits while the caller does not read."""
        await self._connection.write(chunk)

    def finish(self) -> None:
        """End the answer as complete."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer is visibly incomplete."""
        self._connection.close()  # type: ignore[attr-defined]


class CallerServer(HTTPServerConnectionDelegate):
    """Accepts callers and starts a task for each request.

    Parameters
    ----------
    path
        Serves the requests.
    """

    def __init__(self, path: RequestForwarder) -> None:
        self._path = path
        self._limits = CallerLimits()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closing = False
        self._server = HTTPServer(self)

    @property
    def open_requests(self) -> int:
        """Requests that have no final answer yet."""
        return len(self._tasks)

    def listen(self, host: str, port: int) -> None:
        """Accept callers."""
        self._server.listen(port, host, backlog=1024)

    def apply(self, limits: CallerLimits) -> None:
        """Take other bounds on what callers may send."""
        self._limits = limits
        parameters = self._server.conn_params
        parameters.header_timeout = limits.idle_timeout + IDLE_SLACK
        parameters.max_header_size = limits.header_bytes
        parameters.max_body_size = limits.body_bytes

    def announce_close(self) -> None:
        """Ask callers with each answer to use another connection."""
        self._server.conn_params.no_keep_alive = True

    def stop_listening(self) -> None:
        """Close the port and refuse what still comes on open connections."""
        self._is_closing = True
        self._server.stop()

    async def close(self) -> None:
        """Close every connection."""
        for task in tuple(self._tasks):
            task.cancel()
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Take a request whose head is about to come."""
        return _RequestReader(request_conn, self._start)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: each request watches its connection itself."""

    def _start(
        self,
        connection: HTTPConnection,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        task = asyncio.create_task(self._serve(connection, start_line, headers, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection.set_close_callback(task.cancel)  # type: ignore[attr-defined]

    async def _serve(
        self,
        connection: HTTPConnection,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        caller = HttpCaller(connection)
        now = asyncio.get_running_loop().time()
        request_id = ""
        refusal: Refusal | None
        try:
            match decode_request(start_line, headers, body, now):
                case Result(tag="ok", ok=request) if self._is_closing:
                    request_id = request.request_id
                    refusal = refuse(503, Reason.SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER)
                case Result(tag="ok", ok=request):
                    request_id = request.request_id
                    refusal = await self._path.serve(request, caller)
                case Result(error=cause):
                    logger.warning("a request can't be read: {}", cause)
                    refusal = refuse(400, Reason.INVALID_REQUEST)
            if refusal is not None:
                await _send_refusal(caller, request_id, refusal)
        except StreamClosedError:
            logger.bind(request_id=request_id).info("the caller hung up")
        except Exception:
            logger.bind(request_id=request_id).exception("a request failed")
            caller.abort()


class _RequestReader(HTTPMessageDelegate):
    """Reads one request whole."""

    def __init__(
        self,
        connection: HTTPConnection,
        start: Callable[[HTTPConnection, RequestStartLine, HTTPHeaders, bytes], None],
    ) -> None:
        self._connection = connection
        self._start = start
        self._start_line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._blocks: list[bytes] = []

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head."""
        if isinstance(start_line, RequestStartLine):
            self._start_line = start_line
            self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Take bytes of the body."""
        self._blocks.append(chunk)

    def finish(self) -> None:
        """Take the end of the request."""
        if self._start_line is not None:
            body = b"".join(self._blocks)
            self._start(self._connection, self._start_line, self._headers, body)

    def on_connection_close(self) -> None:
        """Forget a request that did not come whole."""
        self._blocks.clear()


async def _send_refusal(caller: HttpCaller, request_id: str, refusal: Refusal) -> None:
    headers = make_refusal_headers(request_id, refusal.retry_after)
    body = f"{refusal.reason.value}\n".encode()
    headers["Content-Type"] = "text/plain"
    headers["Content-Length"] = str(len(body))
    await caller.start(refusal.status, headers)
    await caller.write(body)
    caller.finish()
