"""HTTP client on libcurl and the event loop; owns all connections to targets."""

import contextlib
import functools
from collections.abc import Callable

import pycurl
from expression import Error, Ok
from tornado.ioloop import IOLoop, PeriodicCallback

from kingcuphead.relay._ending import EndCause, TransferEnd, classify_end
from kingcuphead.relay._handle import configure_handle, read_end
from kingcuphead.relay._messages import RelayLimits, RelayRequest
from kingcuphead.relay._sockets import SocketPoller
from kingcuphead.relay._transfer import RelayStream, Transfer
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Milliseconds between two checks for transfers that timed out.
TIMEOUT_CHECK_INTERVAL_MS = 100
#: Maximum number of idle libcurl handles that are kept for reuse.
MAX_IDLE_HANDLES = 64

_EVENTS = {
    pycurl.POLL_IN: IOLoop.READ,
    pycurl.POLL_OUT: IOLoop.WRITE,
    pycurl.POLL_INOUT: IOLoop.READ | IOLoop.WRITE,
}


class Relay:
    """Sends requests to targets and streams their responses.

    It owns every connection to the targets. Create, use and close it on the same
    event loop.

    Parameters
    ----------
    limits : RelayLimits
        Limits of buffers, connections and batching.
    """

    def __init__(self, limits: RelayLimits = RelayLimits()) -> None:  # noqa: B008
        self._limits = limits
        self._loop = IOLoop.current()
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._sockets = SocketPoller(
            self._loop, limits.batch_seconds, self._handle_socket
        )
        self._transfers_with_data: list[Transfer] = []
        self._timer: object | None = None
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, limits.idle_connections)
        self._timeout_check = PeriodicCallback(
            self._end_timed_out, TIMEOUT_CHECK_INTERVAL_MS
        )
        self._timeout_check.start()

    @property
    def open_count(self) -> int:
        """Number of transfers in progress."""
        return len(self._transfers)

    async def open(self, request: RelayRequest) -> Outcome[RelayStream]:
        """Send a request and wait for the head of its response.

        Parameters
        ----------
        request : RelayRequest
            The request and the address of the target.

        Returns
        -------
        Outcome[RelayStream]
            The response, with any status, or a verdict: *not run* if no byte of the
            request was written, else *may have run*.
        """
        handle = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        transfer = Transfer(
            self._limits,
            request.timeouts,
            self._loop.time(),
            functools.partial(self._resume, handle),
        )
        transfer.request_bytes = len(request.body or b"")
        try:
            configure_handle(handle, request, self._limits)
        except ValueError as error:
            detail = str(error)
            return Error(Verdict(Execution.NOT_RUN, Reason.INVALID_REQUEST, detail))
        handle.setopt(pycurl.HEADERFUNCTION, _make_header_function(transfer))
        handle.setopt(pycurl.WRITEFUNCTION, self._make_write_function(transfer))
        self._transfers[handle] = transfer
        cancel = functools.partial(self._cancel, handle, transfer)
        try:
            self._multi.add_handle(handle)
            self._run_socket_action(pycurl.SOCKET_TIMEOUT, 0)
            await transfer.wait_head()
        except BaseException:
            cancel()
            raise
        if transfer.head is None and transfer.end is not None:
            verdict = classify_end(transfer.end)
            if verdict is not None:
                return Error(verdict)
        return Ok(RelayStream(transfer, cancel))

    def close(self) -> None:
        """Cancel all transfers and close all connections."""
        self._timeout_check.stop()
        for handle, transfer in tuple(self._transfers.items()):
            self._cancel(handle, transfer)
        self._set_timer(-1)
        self._multi.close()
        self._sockets.close()
        self._idle_handles.clear()

    def _make_write_function(self, transfer: Transfer) -> Callable[[bytes], int | None]:
        handle_body = transfer.handle_body
        get_time = self._loop.time
        transfers_with_data = self._transfers_with_data

        def write(chunk: bytes) -> int | None:
            if handle_body(chunk, get_time()):
                transfers_with_data.append(transfer)
                return None
            return int(pycurl.WRITEFUNC_PAUSE)

        return write

    def _watch_socket(self, event: int, fd: int, multi: object, data: object) -> None:
        """Add, change or remove a socket as libcurl requests (`M_SOCKETFUNCTION`).

        The descriptor may have been closed and reused for a new socket since the last
        call, so it is always removed before it is added.
        """
        if event in _EVENTS:
            self._sockets.watch(fd, _EVENTS[event])
        else:
            self._sockets.unwatch(fd)

    def _set_timer(self, milliseconds: int) -> None:
        if self._timer is not None:
            self._loop.remove_timeout(self._timer)
            self._timer = None
        if milliseconds >= 0:
            self._timer = self._loop.call_later(milliseconds / 1000, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self._run_socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _handle_socket(self, fd: int, events: int) -> None:
        action = 0
        if events & IOLoop.READ:
            action |= pycurl.CSELECT_IN
        if events & IOLoop.WRITE:
            action |= pycurl.CSELECT_OUT
        if events & IOLoop.ERROR:
            action |= pycurl.CSELECT_ERR
        self._run_socket_action(fd, action)

    def _run_socket_action(self, fd: int, action: int) -> None:
        """Let libcurl process socket events, then collect the transfers that ended."""
        _, running = self._multi.socket_action(fd, action)
        for transfer in self._transfers_with_data:
            transfer.wake_reader()
        self._transfers_with_data.clear()
        if running < len(self._transfers):
            self._collect_ended()

    def _collect_ended(self) -> None:
        queued = 1
        while queued:
            queued, complete, failed = self._multi.info_read()
            for handle in complete:
                self._end(handle, read_end(handle, self._transfers[handle], None, ""))
            for handle, code, text in failed:
                self._end(handle, read_end(handle, self._transfers[handle], code, text))

    def _end(self, handle: pycurl.Curl, end: TransferEnd) -> None:
        """Remove a transfer; libcurl closes the connection of an incomplete one."""
        transfer = self._transfers.pop(handle)
        self._multi.remove_handle(handle)
        handle.reset()
        if len(self._idle_handles) < MAX_IDLE_HANDLES:
            self._idle_handles.append(handle)
        transfer.handle_end(end)

    def _cancel(self, handle: pycurl.Curl, transfer: Transfer) -> None:
        if self._transfers.get(handle) is transfer:
            self._abort_transfer(handle, EndCause.CANCELLED)

    def _abort_transfer(self, handle: pycurl.Curl, cause: EndCause) -> None:
        transfer = self._transfers[handle]
        sent = int(handle.getinfo(pycurl.REQUEST_SIZE))
        self._end(handle, TransferEnd(cause, sent, transfer.received_bytes))

    def _resume(self, handle: pycurl.Curl) -> None:
        if handle not in self._transfers:
            return
        # pycurl raises the error of a transfer that failed while it was paused; its end
        # is collected like that of any other transfer.
        with contextlib.suppress(pycurl.error):
            handle.pause(pycurl.PAUSE_CONT)

    def _end_timed_out(self) -> None:
        now = self._loop.time()
        for handle, transfer in tuple(self._transfers.items()):
            cause = transfer.check_timeout(now)
            if cause is not None:
                self._abort_transfer(handle, cause)


def _make_header_function(transfer: Transfer) -> Callable[[bytes], int | None]:
    def handle_line(line: bytes) -> int | None:
        return None if transfer.handle_header(line) else 0

    return handle_line
