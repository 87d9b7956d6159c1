"""Memory for answers that are collected before they are passed on."""

#: Bytes that all answers of a daemon may take up together.
MAX_BYTES = 48 * 1024 * 1024


class AnswerMemory:
    """Counts the bytes that collected answers take up.

    Parameters
    ----------
    limit
        Maximum number of bytes.
    """

    def __init__(self, limit: int = MAX_BYTES) -> None:
        #: Maximum number of bytes.
        self.limit = limit
        #: Bytes in use.
        self.used = 0
        #: Most bytes that were in use at one time.
        self.peak = 0

    def reserve(self, size: int) -> bool:
        """Take up bytes; return whether they are within the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        self.peak = max(self.peak, self.used)
        return True

    def release(self, size: int) -> None:
        """Give bytes back."""
        self.used -= size
