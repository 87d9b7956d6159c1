"""Non-blocking stream for log lines with a bounded rate and buffer."""

import os
import time
from collections.abc import Callable

import msgspec

#: Maximum number of lines per second; further lines are dropped.
LINES_PER_SECOND = 2_000
#: Buffer size in bytes at which lines are dropped until the reader catches up.
BUFFER_BYTES = 262_144


class BoundedStream:
    """Writes lines to a file descriptor; drops and counts lines beyond its bounds.

    The number of dropped lines is written as a separate line before the next line
    that is accepted.

    Parameters
    ----------
    descriptor
        Open file descriptor; the constructor sets it to non-blocking mode.
    lines_per_second
        Maximum number of lines per second.
    get_time
        Monotonic clock in seconds.
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
        self._current_second = 0
        self._lines_this_second = 0
        self._pending = b""
        self._dropped = 0

    def write(self, message: str) -> None:
        """Write a line, or drop it if the rate or the buffer is exhausted."""
        self._reset_rate_window()
        if self._lines_this_second >= self._lines_per_second or not self._has_room():
            self._dropped += 1
            return
        self._lines_this_second += 1
        self._pending += self._encode_drop_notice() + message.encode("utf-8", "replace")
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is no other output to report it to.
            written = len(self._pending)
        self._pending = self._pending[written:]

    def _reset_rate_window(self) -> None:
        second = int(self._get_time())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0

    def _has_room(self) -> bool:
        if len(self._pending) >= BUFFER_BYTES:
            self.flush()
        return len(self._pending) < BUFFER_BYTES

    def _encode_drop_notice(self) -> bytes:
        if not self._dropped:
            return b""
        line = {"level": "warning", "message": "log lines dropped"}
        content = msgspec.json.encode({**line, "dropped": self._dropped})
        self._dropped = 0
        return content + b"\n"
