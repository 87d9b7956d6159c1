"""Bounds the bytes that a daemon holds for its requests."""

from collections.abc import Callable

from loguru import logger

#: Bytes that all collected answers of a daemon may take up together, where the account
#: covers nothing else.
MAX_ANSWER_BYTES_HELD = 48 * 1024 * 1024
#: Bytes of a stream that are held for a slow caller whatever the others hold.
STREAM_BUFFER_BYTES = 262_144
#: The account's share of the memory of the process.
ACCOUNT_SHARE = 1 / 3
#: Share of the limit from which on streams with a full buffer of their own are held
#: back, so that the target waits for the caller.
BACKPRESSURE_SHARE = 0.5


class OutOfMemoryError(Exception):
    """The bytes don't fit, or the request was ended to make room for others."""


class RequestMemory:
    """Account of the bytes held for requests; ends the largest ones when it is full.

    Parameters
    ----------
    limit
        Maximum number of bytes.
    covers_requests
        Whether bodies of callers and events on their way to them count too; otherwise
        only answers that are being collected do, and no request is ended.
    report_end
        Called for each request that is ended.
    """

    def __init__(
        self,
        limit: int = MAX_ANSWER_BYTES_HELD,
        covers_requests: bool = False,
        report_end: Callable[[], None] = lambda: None,
    ) -> None:
        self._report_end = report_end
        self._reservations: set[MemoryReservation] = set()
        #: Maximum number of bytes.
        self.limit = limit
        #: Whether bodies and events count too.
        self.covers_requests = covers_requests
        #: Bytes in use.
        self.used = 0
        #: Most bytes that were in use at one time.
        self.peak = 0

    @property
    def applies_backpressure(self) -> bool:
        """Whether a stream whose own buffer is full waits for its caller."""
        return not self.covers_requests or self.used >= self.limit * BACKPRESSURE_SHARE

    def open(self, request_id: str = "") -> "MemoryReservation":
        """Return the part of one request, which holds no bytes yet."""
        return MemoryReservation(self, request_id)

    def make_room(self, size: int, reservation: "MemoryReservation") -> bool:
        """End larger requests until bytes fit; return whether they do.

        Parameters
        ----------
        size
            Number of bytes.
        reservation
            Request that needs them; it is ended if no other one holds more.
        """
        while self.used + size > self.limit:
            if not self.covers_requests:
                return False
            largest = max(self._reservations, key=_get_size, default=reservation)
            if largest.size <= reservation.size + size:
                largest = reservation
            self._end(largest, size)
            if largest is reservation:
                return False
        return True

    def add(self, reservation: "MemoryReservation", size: int) -> None:
        """Count bytes of a request; a negative number gives them back."""
        self.used += size
        self.peak = max(self.peak, self.used)
        if reservation.size:
            self._reservations.add(reservation)
        else:
            self._reservations.discard(reservation)

    def _end(self, reservation: "MemoryReservation", size: int) -> None:
        self._report_end()
        logger.bind(
            request_id=reservation.request_id,
            bytes_held=reservation.size,
            bytes_needed=size,
            bytes_limit=self.limit,
        ).warning("memory limit of requests reached; ending the largest request")
        reservation.end()


class MemoryReservation:
    """The bytes held for one request.

    Parameters
    ----------
    account
        Account that they count in.
    request_id
        Id of the request, for the log.
    """

    def __init__(self, account: RequestMemory, request_id: str) -> None:
        #: Account that the bytes count in.
        self.account = account
        #: Id of the request, for the log.
        self.request_id = request_id
        #: Bytes held.
        self.size = 0
        #: Whether the request was ended because the account was full.
        self.is_ended = False
        #: Called to end the request; drops what it holds.
        self.on_end: Callable[[], None] | None = None

    def take(self, size: int) -> None:
        """Count more bytes.

        Raises
        ------
        OutOfMemoryError
            The bytes don't fit, or the request was ended before.
        """
        if self.is_ended or not self.account.make_room(size, self):
            raise OutOfMemoryError
        self.size += size
        self.account.add(self, size)

    def release(self, size: int) -> None:
        """Give bytes back, unless that was done at the end of the request."""
        size = min(size, self.size)
        self.size -= size
        self.account.add(self, -size)

    def take_request_bytes(self, size: int) -> None:
        """Count bytes of a body or of events, if the account covers them.

        Raises
        ------
        OutOfMemoryError
            The bytes don't fit, or the request was ended before.
        """
        if self.account.covers_requests:
            self.take(size)

    def release_request_bytes(self, size: int) -> None:
        """Give bytes of a body or of events back, if the account covers them."""
        if self.account.covers_requests:
            self.release(size)

    def end(self) -> None:
        """Give all bytes back, and end the request."""
        callback = self.on_end
        self.close()
        self.is_ended = True
        if callback is not None:
            callback()

    def close(self) -> None:
        """Give all bytes back, at the end of the request."""
        self.on_end = None
        self.release(self.size)


def get_account_limit(memory_bytes: int) -> int:
    """Return the limit of the account for a process with this memory."""
    return int(memory_bytes * ACCOUNT_SHARE)


def _get_size(reservation: MemoryReservation) -> int:
    return reservation.size
