"""Turns rows of the platform's store into configuration and targets."""

import time
from collections.abc import Callable, Iterable, Iterator

from expression import Result
from loguru import logger

from kingcuphead.platform import (
    CONFIGURATION_KEY,
    Change,
    decode_configuration,
    decode_target,
)
from kingcuphead.routing import RoutingConfiguration
from kingcuphead.storage import Row
from kingcuphead.targets import (
    DirectoryChange,
    Target,
    TargetAdded,
    TargetDirectory,
    TargetLeft,
)


class ConfigurationFollower:
    """Applies each version of the configuration that is newer than all before.

    Parameters
    ----------
    apply
        Brings a version in force.
    """

    def __init__(self, apply: Callable[[RoutingConfiguration], None]) -> None:
        self._apply = apply
        self._version: int | None = None

    def take_snapshot(self, rows: Iterable[Row]) -> None:
        """Take the whole table."""
        for row in rows:
            if row.key == CONFIGURATION_KEY:
                self._take(row.value)

    def take_changes(self, changes: Iterable[Change]) -> None:
        """Take what changed, in order."""
        newest = None
        for change in changes:
            if change.key == CONFIGURATION_KEY and change.value is not None:
                newest = change.value
        if newest is not None:
            self._take(newest)

    def _take(self, content: bytes) -> None:
        match decode_configuration(content):
            case Result(tag="ok", ok=configuration):
                if self._version is None or configuration.version > self._version:
                    self._version = configuration.version
                    self._apply(configuration)
                    logger.bind(revision=configuration.version).info(
                        "configuration in force: {} routes, {} organisations",
                        len(configuration.routes),
                        len(configuration.organisations),
                    )
            case Result(error=cause):
                logger.error("a configuration can't be read: {}", cause)


class TargetFollower:
    """Keeps the directory of targets up to date.

    Parameters
    ----------
    directory
        The targets.
    report
        Called with each change.
    """

    def __init__(
        self, directory: TargetDirectory, report: Callable[[DirectoryChange], None]
    ) -> None:
        self._directory = directory
        self._report = report

    def take_snapshot(self, rows: Iterable[Row]) -> None:
        """Take the whole table."""
        targets = _decode_targets((row.key, row.value) for row in rows)
        self._tell(self._directory.replace_all(targets, time.monotonic()))

    def take_changes(self, changes: Iterable[Change]) -> None:
        """Take what changed, in order."""
        for change in changes:
            if change.value is None:
                self._tell(self._directory.remove(change.key, time.monotonic()))
                continue
            target = decode_target(change.key, change.value)
            if target is not None:
                self._tell(self._directory.put(target))

    def tick(self) -> None:
        """Drop the targets whose entries lapsed and did not come back."""
        self._tell(self._directory.tick(time.monotonic()))

    def _tell(self, changes: Iterator[DirectoryChange]) -> None:
        for change in changes:
            bound = logger.bind(target=change.target.name)
            match change:
                case TargetAdded(target):
                    bound.info("target of {} at {}", target.service, target.address)
                case TargetLeft(target, is_removed):
                    cause = "entry removed" if is_removed else "draining"
                    bound.info("target of {} leaves: {}", target.service, cause)
            self._report(change)


def _decode_targets(entries: Iterable[tuple[str, bytes]]) -> Iterator[Target]:
    for name, content in entries:
        target = decode_target(name, content)
        if target is not None:
            yield target
