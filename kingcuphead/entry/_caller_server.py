"""The HTTP server for callers, which serves each complete request in its own task."""

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

from kingcuphead.capacity import (
    MESSAGE_OVERHEAD_BYTES,
    CallerConnection,
    CallerConnections,
)
from kingcuphead.forwarding import Refusal, RequestForwarder, refuse
from kingcuphead.platform import decode_request, make_refusal_headers
from kingcuphead.routing import CallerLimits
from kingcuphead.verdict import Reason

#: Seconds added to the configured idle timeout before an idle connection is closed.
IDLE_SLACK = 2.0
#: Seconds after which a caller refused during shutdown may retry, at another daemon.
SHUTDOWN_RETRY_AFTER = 0.05


class HttpCaller:
    """Writes the answer to one request.

    Parameters
    ----------
    connection
        Connection on which the request arrived.
    traffic
        Counts the bytes of the connection and tells whether it should close.
    """

    def __init__(self, connection: HTTPConnection, traffic: CallerConnection) -> None:
        self._connection = connection
        self._traffic = traffic
        #: Whether the status line and the headers were sent.
        self.is_answered = False

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Send the status line and the headers of the answer."""
        self.is_answered = True
        reason = http.client.responses.get(status, "Unknown")
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        self._traffic.record_sent(MESSAGE_OVERHEAD_BYTES)
        if self._traffic.is_marked:
            # Adds `Connection: close`; Tornado has no public way for one connection.
            self._connection._disconnect_on_finish = True  # type: ignore[attr-defined]
        await self._connection.write_headers(start_line, headers)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the connection applies backpressure."""
        self._traffic.record_sent(len(chunk))
        await self._connection.write(chunk)

    def finish(self) -> None:
        """Complete the answer."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the caller detects the incomplete answer."""
        self._connection.close()  # type: ignore[attr-defined]


class _ConnectionServer(HTTPServer):
    """An HTTP server that tells its delegate of closed connections."""

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        super().on_close(server_conn)
        if isinstance(self.request_callback, HTTPServerConnectionDelegate):
            self.request_callback.on_close(server_conn)


class CallerServer(HTTPServerConnectionDelegate):
    """Accepts connections of callers and starts a task for each request.

    Parameters
    ----------
    forwarder
        Serves the requests.
    connections
        Keeps the open connections.
    """

    def __init__(
        self, forwarder: RequestForwarder, connections: CallerConnections
    ) -> None:
        self._forwarder = forwarder
        self._connections = connections
        self._limits = CallerLimits()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closing = False
        self._server = _ConnectionServer(self)

    @property
    def open_requests(self) -> int:
        """Number of requests whose answers are incomplete."""
        return len(self._tasks)

    def listen(self, host: str, port: int) -> None:
        """Bind the port and accept connections."""
        self._server.listen(port, host, backlog=1024)

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply the limits of a new configuration version to connections."""
        self._limits = limits
        parameters = self._server.conn_params
        parameters.header_timeout = limits.idle_timeout + IDLE_SLACK
        parameters.max_header_size = limits.header_bytes
        parameters.max_body_size = limits.body_bytes

    def announce_close(self) -> None:
        """Add `Connection: close` to the following answers."""
        self._server.conn_params.no_keep_alive = True

    def stop_listening(self) -> None:
        """Close the port and refuse new requests on connections that are still open."""
        self._is_closing = True
        self._server.stop()

    async def close(self) -> None:
        """Cancel all requests and close all connections."""
        for task in tuple(self._tasks):
            task.cancel()
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request of a connection."""
        caller = request_conn.context.remote_ip  # type: ignore[attr-defined]
        traffic = self._connections.find(server_conn, caller)
        return _RequestReader(request_conn, traffic, self._start_task)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection; each request registers a close callback of its own."""
        self._connections.remove(server_conn)

    def _start_task(
        self,
        connection: HTTPConnection,
        traffic: CallerConnection,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
        caller = HttpCaller(connection, traffic)
        task = asyncio.create_task(self._serve(caller, start_line, headers, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection.set_close_callback(task.cancel)  # type: ignore[attr-defined]

    async def _serve(
        self,
        caller: HttpCaller,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> None:
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
                    refusal = await self._forwarder.serve(request, caller)
                case Result(error=cause):
                    logger.warning("cannot decode request: {}", cause)
                    refusal = refuse(400, Reason.INVALID_REQUEST)
            if refusal is not None:
                await _send_refusal(caller, request_id, refusal)
        except StreamClosedError:
            logger.bind(request_id=request_id).info("caller closed the connection")
        except Exception:
            logger.bind(request_id=request_id).exception(
                "unexpected error while serving a request"
            )
            caller.abort()


class _RequestReader(HTTPMessageDelegate):
    """Reads one complete request."""

    def __init__(
        self,
        connection: HTTPConnection,
        traffic: CallerConnection,
        start_task: Callable[
            [HTTPConnection, CallerConnection, RequestStartLine, HTTPHeaders, bytes],
            None,
        ],
    ) -> None:
        self._connection = connection
        self._traffic = traffic
        self._start_task = start_task
        self._start_line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the request line and the headers."""
        self._traffic.record_received(MESSAGE_OVERHEAD_BYTES)
        if isinstance(start_line, RequestStartLine):
            self._start_line = start_line
            self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._traffic.record_received(len(chunk))
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Start serving the complete request."""
        if self._start_line is not None:
            body = b"".join(self._chunks)
            self._start_task(
                self._connection, self._traffic, self._start_line, self._headers, body
            )

    def on_connection_close(self) -> None:
        """Discard an incomplete request."""
        self._chunks.clear()


async def _send_refusal(caller: HttpCaller, request_id: str, refusal: Refusal) -> None:
    headers = make_refusal_headers(request_id, refusal.retry_after)
    body = f"{refusal.reason.value}\n".encode()
    headers["Content-Type"] = "text/plain"
    headers["Content-Length"] = str(len(body))
    await caller.start(refusal.status, headers)
    await caller.write(body)
    caller.finish()
