"""The software versions that may have begun a stream that a caller resumes."""

from collections.abc import Iterable, Iterator

from kingcuphead.resumption._messages import ServedVersion
from kingcuphead.resumption._registry import STREAM_LIFETIME


class VersionHistory:
    """Remembers when each software version of a service was last seen; does no I/O.

    What served before this daemon started, or while it was cut from the store, has to
    be added from the rows that other daemons wrote.
    """

    def __init__(self) -> None:
        self._seen_at: dict[ServedVersion, float] = {}

    def observe(self, versions: Iterable[ServedVersion], now: float) -> None:
        """Record versions that serve now, or may have served until now."""
        for version in versions:
            self._seen_at[version] = now

    def add_missing(self, versions: Iterable[ServedVersion], now: float) -> None:
        """Record versions that have no entry yet; later observations are kept."""
        for version in versions:
            self._seen_at.setdefault(version, now)

    def list_recent(self, now: float) -> Iterator[ServedVersion]:
        """Yield the versions whose streams callers may still resume."""
        for version, seen_at in self._seen_at.items():
            if now - seen_at <= STREAM_LIFETIME:
                yield version

    def list_versions(self, services: Iterable[str], now: float) -> frozenset[str]:
        """Return the versions of some services that may have begun a stream."""
        names = frozenset(services)
        return frozenset(
            version.software_version
            for version in self.list_recent(now)
            if version.service in names
        )

    def find_only_version(self, services: Iterable[str], now: float) -> str | None:
        """Return the version of some services if just one was seen lately."""
        versions = self.list_versions(services, now)
        if len(versions) != 1:
            return None
        (only,) = versions
        return only
