"""What this daemon reports that it holds in the memory of targets."""

from collections import Counter
from collections.abc import Iterator

#: Number of times that a daemon repeats that it holds no memory of a target any more.
MAX_ZERO_REPORTS = 2


class MemoryReports:
    """The latest report on each target, repeated as long as it may matter."""

    def __init__(self) -> None:
        self._tokens: dict[str, int] = {}
        self._zero_reports: Counter[str] = Counter()
        self._doubtful: set[str] = set()

    def record(self, target: str, tokens: int) -> bool:
        """Replace the tokens that this daemon holds in the memory of a target.

        Returns
        -------
        bool
            Whether to report them: the coordinator may know another number.
        """
        is_known = tokens == self._tokens.get(target, 0)
        if is_known and target not in self._doubtful:
            return False
        self._doubtful.discard(target)
        self._tokens[target] = tokens
        self._zero_reports[target] = 0
        return True

    def mark_doubtful(self, target: str) -> None:
        """Record that a coordinator may have granted a permit that didn't arrive."""
        self._doubtful.add(target)

    def get(self, target: str) -> int | None:
        """Return the tokens to report; None if there is nothing to report."""
        return self._tokens.get(target)

    def list_repeated(self) -> Iterator[str]:
        """Yield the targets to report again; the last report of no tokens drops one."""
        for target, tokens in tuple(self._tokens.items()):
            yield target
            self._zero_reports[target] += not tokens
            if self._zero_reports[target] >= MAX_ZERO_REPORTS:
                self.forget(target)

    def forget(self, target: str) -> None:
        """Drop the report on a target."""
        self._tokens.pop(target, None)
        self._zero_reports.pop(target, None)
        self._doubtful.discard(target)
