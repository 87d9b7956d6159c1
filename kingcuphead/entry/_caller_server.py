"""The HTTP server for callers, which serves each complete request in its own task."""

import asyncio
import contextlib
import socket
import time
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
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from kingcuphead.admission import SHUTDOWN_RETRY_AFTER
from kingcuphead.capacity import (
    MESSAGE_OVERHEAD_BYTES,
    CallerConnection,
    CallerConnections,
    CallerIntake,
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
from kingcuphead.platform import decode_request, get_request_id, make_refusal_headers
from kingcuphead.routing import CallerLimits
from kingcuphead.verdict import Reason

#: Seconds added to the configured idle timeout before an idle connection is closed.
IDLE_SLACK = 2.0
#: Seconds after which a caller may retry a request that was refused for want of memory.
MEMORY_RETRY_AFTER = 0.3
#: Seconds after which a caller may retry a request that was refused as this daemon is
#: behind. The retry mostly reaches another daemon, so it need not wait.
OVERLOAD_RETRY_AFTER = 0.05


class _CallerStream(IOStream):
    """The stream of a caller's connection, which the event loop serves in its turn."""

    def __init__(self, connection: socket.socket, intake: CallerIntake) -> None:
        super().__init__(connection)
        self._intake = intake
        intake.add(connection.fileno())

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read bytes, unless the socket has to wait for a later turn.

        Tornado tries to read at once after each answer, without an event.
        """
        if not self._intake.may_read(self.socket.fileno()):
            return None
        return super().read_from_fd(buf)

    def close_fd(self) -> None:
        """Close the socket."""
        self._intake.remove(self.socket.fileno())
        super().close_fd()


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
    report_overload
        Called with each request that is refused as this daemon is behind.
    """

    def __init__(
        self,
        forwarder: RequestForwarder,
        memory: RequestMemory,
        connections: CallerConnections,
        report_overload: Callable[[], None] = lambda: None,
    ) -> None:
        self._forwarder = forwarder
        self._report_overload = report_overload
        self._memory = memory
        self._connections = connections
        self._limits = CallerLimits()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closing = False
        self._server = _ConnectionServer(self)
        self._listeners: list[socket.socket] = []
        #: Bounds what one turn of the event loop takes in.
        self.intake = CallerIntake()

    @property
    def open_requests(self) -> int:
        """Number of requests whose answers are incomplete."""
        return len(self._tasks)

    def listen(self, host: str, port: int) -> None:
        """Bind the port and accept connections."""
        for listener in bind_sockets(port, host, backlog=1024):
            self.intake.add(listener.fileno())
            loop = asyncio.get_running_loop()
            loop.add_reader(listener.fileno(), self._accept, listener)
            self._listeners.append(listener)

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
        for listener in self._listeners:
            asyncio.get_running_loop().remove_reader(listener.fileno())
            self.intake.remove(listener.fileno())
            listener.close()
        self._listeners.clear()

    async def close(self) -> None:
        """Cancel all requests and close all connections."""
        for task in tuple(self._tasks):
            task.cancel()
        await self._server.close_all_connections()

    def _accept(self, listener: socket.socket) -> None:
        """Accept some connections; Tornado would accept up to 128 in one turn."""
        for _ in range(self.intake.max_served):
            try:
                connection, address = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            stream = _CallerStream(connection, self.intake)
            self._server.handle_stream(stream, address)

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
    ) -> asyncio.Task[None] | None:
        """Start serving a request; refuse it at once while others wait to be read."""
        if not self.intake.admit(time.monotonic()):
            self._refuse_overload(caller, headers)
            return None
        task = asyncio.create_task(self._serve(caller, start_line, headers, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _refuse_overload(self, caller: HttpCaller, headers: HTTPHeaders) -> None:
        """Refuse a request with as little work as possible."""
        self._report_overload()
        refusal = refuse(503, Reason.OVERLOADED, OVERLOAD_RETRY_AFTER)
        try:
            _send_refusal(caller, get_request_id(headers), refusal)
        except StreamClosedError:
            caller.abort()
        finally:
            caller.reservation.close()

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
            caller.abort()
        finally:
            caller.reservation.close()


class _RequestReader(HTTPMessageDelegate):
    """Reads one request, and starts a task for it once it is complete."""

    def __init__(
        self,
        connection: HTTP1Connection,
        reservation: MemoryReservation,
        traffic: CallerConnection,
        start_task: Callable[
            [HttpCaller, RequestStartLine, HTTPHeaders, bytes],
            asyncio.Task[None] | None,
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
        caller = HttpCaller(self._connection, self._reservation, self._traffic)
        task = self._start_task(caller, self._start_line, self._headers, body)
        if task is not None:
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
