"""A stream for log lines that is bounded and never blocks its writer."""

import os
import time
from collections.abc import Callable

import msgspec

#: Lines in a second beyond which lines are dropped.
LINES_PER_SECOND = 2_000
#: Bytes that may wait for a slow reader.
BUFFER_BYTES = 262_144


class BoundedStream:
    """Writes lines to a descriptor; what does not fit is dropped and counted.

    The count of dropped lines is written as a line of its own as soon as there is
    room.

    Parameters
    ----------
    descriptor
        Open file descriptor; it is set to be non-blocking.
    lines_per_second
        Most lines written in one second.
    get_time
        Steady clock in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: int = LINES_PER_SECOND,
        get_time: Callable[[], float] = time.monotonic,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_second = lines_per_second
        self._get_time = get_time
        self._period = 0
        self._lines = 0
        self._waiting = b""
        self._dropped = 0

    def write(self, message: str) -> None:
        """Write a line, or drop it."""
        self._start_period()
        if self._lines >= self._lines_per_second or not self._has_room():
            self._dropped += 1
            return
        self._lines += 1
        self._waiting += self._report_dropped() + message.encode("utf-8", "replace")
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads; there is no other place to report it.
            written = len(self._waiting)
        self._waiting = self._waiting[written:]

    def _start_period(self) -> None:
        period = int(self._get_time())
        if period != self._period:
            self._period = period
            self._lines = 0

    def _has_room(self) -> bool:
        if len(self._waiting) >= BUFFER_BYTES:
            self.flush()
        return len(self._waiting) < BUFFER_BYTES

    def _report_dropped(self) -> bytes:
        if not self._dropped:
            return b""
        line = {"level": "warning", "message": "log lines dropped"}
        content = msgspec.json.encode({**line, "dropped": self._dropped})
        self._dropped = 0
        return content + b"\n"
