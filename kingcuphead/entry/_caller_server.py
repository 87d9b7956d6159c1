"""The HTTP server for callers, which serves each complete request in its own task."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

from expression import Result
from loguru import logger
from tornado.http1connection import HTTP1Connection
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

from kingcuphead.admission import SHUTDOWN_RETRY_AFTER
from kingcuphead.capacity import (
    MESSAGE_OVERHEAD_BYTES,
    CallerConnection,
    CallerConnections,
)
from kingcuphead.entry._http_caller import HttpCaller
from kingcuphead.forwarding import (
    MemoryReservation,
    OutOfMemoryError,
    Refusal,
    RequestForwarder,
    RequestMemory,
    refuse,
)
from kingcuphead.platform import decode_request, make_refusal_headers
from kingcuphead.routing import CallerLimits
from kingcuphead.verdict import Reason

#: Seconds added to the configured idle timeout before an idle connection is closed.
IDLE_SLACK = 2.0
#: Seconds after which a caller may retry a request that was refused for want of memory.
MEMORY_RETRY_AFTER = 0.3


class _ConnectionServer(HTTPServer):
    """An HTTP server that notifies its delegate of closed connections."""

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
    memory
        Counts the bytes held for requests.
    connections
        Counts the bytes of each open connection.
    record_error
        Called after each request that ended with an unexpected error, with whether the
        caller got an answer.
    """

    def __init__(
        self,
        forwarder: RequestForwarder,
        memory: RequestMemory,
        connections: CallerConnections,
        record_error: Callable[[bool], None] = lambda is_answered: None,
    ) -> None:
        self._forwarder = forwarder
        self._memory = memory
        self._connections = connections
        self._record_error = record_error
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

    def refuse_requests(self) -> None:
        """Refuse new requests as not run, while the port stays open."""
        self._is_closing = True

    def stop_listening(self) -> None:
        """Close the port and refuse new requests on connections that are still open."""
        self.refuse_requests()
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
        return _RequestReader(
            cast(HTTP1Connection, request_conn),
            self._memory.open(),
            self._connections.find(server_conn, caller),
            self._start_task,
        )

    def on_close(self, server_conn: object) -> None:
        """Forget a connection; each request registers a close callback of its own."""
        self._connections.remove(server_conn)

    def _start_task(
        self,
        caller: HttpCaller,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(self._serve(caller, start_line, headers, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

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
                case Result(tag="ok", ok=request) if caller.reservation.is_ended:
                    request_id = request.request_id
                    refusal = refuse(503, Reason.MEMORY_FULL, MEMORY_RETRY_AFTER)
                case Result(tag="ok", ok=request) if self._is_closing:
                    request_id = request.request_id
                    refusal = refuse(503, Reason.SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER)
                case Result(tag="ok", ok=request):
                    request_id = caller.reservation.request_id = request.request_id
                    refusal = await self._forwarder.serve(request, caller)
                case Result(error=cause):
                    logger.warning("cannot decode request: {}", cause)
                    refusal = refuse(400, Reason.INVALID_REQUEST)
            if refusal is not None:
                _send_refusal(caller, request_id, refusal)
            await caller.complete()
        except StreamClosedError:
            logger.bind(request_id=request_id).info("caller closed the connection")
            caller.abort()
        except asyncio.CancelledError:
            caller.abort()
            raise
        except Exception:
            logger.bind(request_id=request_id).exception(
                "unexpected error while serving a request"
            )
            self._answer_error(caller, request_id)
        finally:
            caller.reservation.close()

    def _answer_error(self, caller: HttpCaller, request_id: str) -> None:
        """Refuse a request that met an unexpected error, unless an answer has begun."""
        self._record_error(not caller.is_started)
        if caller.is_started:
            caller.abort()
            return
        try:
            _send_refusal(caller, request_id, refuse(502, Reason.INTERNAL_ERROR))
        except StreamClosedError:
            caller.abort()


class _RequestReader(HTTPMessageDelegate):
    """Reads one request, and starts a task for it once it is complete."""

    def __init__(
        self,
        connection: HTTP1Connection,
        reservation: MemoryReservation,
        traffic: CallerConnection,
        start_task: Callable[
            [HttpCaller, RequestStartLine, HTTPHeaders, bytes], asyncio.Task[None]
        ],
    ) -> None:
        self._connection = connection
        self._reservation = reservation
        self._traffic = traffic
        self._start_task = start_task
        self._start_line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        reservation.on_end = self._chunks.clear

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the request line and the headers."""
        self._traffic.record_received(MESSAGE_OVERHEAD_BYTES)
        if isinstance(start_line, RequestStartLine):
            self._start_line = start_line
            self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body, unless there is no memory for it."""
        self._traffic.record_received(len(chunk))
        with contextlib.suppress(OutOfMemoryError):
            self._reservation.take_request_bytes(len(chunk))
            self._chunks.append(chunk)

    def finish(self) -> None:
        """Start serving the complete request."""
        self._reservation.on_end = None
        if self._start_line is None:
            return
        body = b"".join(self._chunks)
        self._chunks.clear()
        caller = HttpCaller(
            self._connection,
            self._reservation,
            self._traffic,
            self._start_line.method,
        )
        task = self._start_task(caller, self._start_line, self._headers, body)
        self._connection.set_close_callback(lambda: _cancel(task))

    def on_connection_close(self) -> None:
        """Discard an incomplete request."""
        self._chunks.clear()
        self._reservation.close()


def _send_refusal(caller: HttpCaller, request_id: str, refusal: Refusal) -> None:
    headers = make_refusal_headers(request_id, refusal.retry_after)
    body = f"{refusal.reason.value}\n".encode()
    headers["Content-Type"] = "text/plain"
    headers["Content-Length"] = str(len(body))
    caller.start(refusal.status, headers)
    caller.send(body)
    caller.finish()


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
