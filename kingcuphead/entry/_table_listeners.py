"""Listeners that decode table rows into configurations, evacuations and targets."""

import asyncio
import time
from collections.abc import Callable, Iterable, Iterator

from expression import Result
from loguru import logger

from kingcuphead.platform import (
    CONFIGURATION_KEY,
    Change,
    ConfigurationDecoder,
    decode_evacuated_zone,
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
    ZoneChange,
    ZoneEvacuated,
    ZoneReadmitted,
    read_boot_clock,
)

#: Characters of a zone's name in a log line.
MAX_LOGGED_NAME = 100


class ConfigurationListener:
    """Applies each configuration version that is higher than the current one.

    Parameters
    ----------
    apply
        Called with each version that takes effect.
    """

    def __init__(self, apply: Callable[[RoutingConfiguration], None]) -> None:
        self._apply = apply
        self._decoder = ConfigurationDecoder()
        self._version: int | None = None
        self._content = b""

    def apply_snapshot(self, rows: Iterable[Row]) -> None:
        """Apply the complete contents of the table."""
        for row in rows:
            if row.key == CONFIGURATION_KEY:
                self._apply_content(row.value)

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply the newest version among changes, which are in commit order."""
        newest = None
        for change in changes:
            if change.key == CONFIGURATION_KEY and change.value is not None:
                newest = change.value
        if newest is not None:
            self._apply_content(newest)

    def _apply_content(self, content: bytes) -> None:
        if content == self._content:
            # Snapshots after a lost connection mostly repeat the row.
            return
        self._content = content
        match self._decoder.decode(content):
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
                logger.error("cannot decode configuration: {}", cause)


class EvacuationListener:
    """Excludes the targets of the zones that the operator evacuates.

    Parameters
    ----------
    directory
        Directory that is updated.
    handle_change
        Called with each change of the evacuated zones.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        handle_change: Callable[[ZoneChange], None],
    ) -> None:
        self._directory = directory
        self._handle_change = handle_change
        self._reported: set[str] = set()
        self._read_at = float("-inf")

    def apply_snapshot(self, rows: Iterable[Row]) -> None:
        """Replace the evacuated zones by those of the complete table."""
        self._read_at = read_boot_clock()
        zones = (decode_evacuated_zone(row.key) for row in rows)
        self.replace_zones(zone for zone in zones if zone is not None)

    def replace_zones(self, zones: Iterable[str]) -> None:
        """Replace the evacuated zones."""
        self._publish(self._directory.replace_evacuated_zones(zones))

    def list_zones(self) -> tuple[str, ...]:
        """Return the zones that have a row, also those without targets."""
        return self._directory.evacuated_zones

    def get_age(self) -> float:
        """Return the seconds since the store last answered a read of the rows."""
        return read_boot_clock() - self._read_at

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply changes in the order in which they were committed."""
        self._read_at = read_boot_clock()
        for change in changes:
            zone = decode_evacuated_zone(change.key)
            if zone is None:
                continue
            if change.value is None:
                self._publish(self._directory.readmit_zone(zone))
            else:
                self._publish(self._directory.evacuate_zone(zone))

    def tick(self) -> None:
        """Log each evacuated zone that no target is in, once."""
        unknown = set(self._directory.list_unknown_zones())
        for zone in sorted(unknown - self._reported):
            logger.bind(zone=zone[:MAX_LOGGED_NAME]).warning(
                "evacuation of a zone without targets has no effect"
            )
        self._reported = unknown

    def _publish(self, changes: Iterator[ZoneChange]) -> None:
        for change in changes:
            bound = logger.bind(
                zone=change.zone[:MAX_LOGGED_NAME], targets=len(change.targets)
            )
            match change:
                case ZoneEvacuated():
                    bound.info("evacuation of zone begins")
                case ZoneReadmitted():
                    bound.info("evacuation of zone ends")
            self._handle_change(change)


class TargetListener:
    """Updates the target directory from the entries of targets.

    Parameters
    ----------
    directory
        Directory that is updated.
    handle_change
        Called with each change of the directory.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        handle_change: Callable[[DirectoryChange], None],
    ) -> None:
        self._directory = directory
        self._handle_change = handle_change
        self._timer: asyncio.TimerHandle | None = None

    def apply_snapshot(self, rows: Iterable[Row]) -> None:
        """Apply the complete contents of the table."""
        targets = _decode_targets((row.key, row.value) for row in rows)
        now = time.monotonic()
        self._directory.record_read(now)
        self._publish(self._directory.replace_all(targets, now))
        self._schedule_tick()

    def apply_changes(self, changes: Iterable[Change]) -> None:
        """Apply changes in the order in which they were committed."""
        now = time.monotonic()
        self._directory.record_read(now)
        for change in changes:
            if change.value is None:
                self._publish(self._directory.remove(change.key, now))
                continue
            target = decode_target(change.key, change.value)
            if target is not None:
                self._publish(self._directory.put(target))
        self._schedule_tick()

    def handle_leaving(self, target: Target) -> None:
        """Handle an answer in which a target says that it leaves."""
        self._publish(self._directory.mark_leaving(target))

    def tick(self) -> None:
        """Drop targets whose expired entries weren't written again in time."""
        self._publish(self._directory.tick(time.monotonic()))
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Drop such targets when their time is up, not at the next sweep."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (deadline := self._directory.expiry_deadline) is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(deadline, self.tick)

    def _publish(self, changes: Iterator[DirectoryChange]) -> None:
        for change in changes:
            bound = logger.bind(
                target=change.target.name,
                software_version=change.target.software_version,
            )
            match change:
                case TargetAdded(target):
                    bound.info("target of {} at {}", target.service, target.address)
                case TargetLeft(target, is_removed):
                    cause = "entry removed" if is_removed else "draining"
                    bound.info("target of {} leaves: {}", target.service, cause)
            self._handle_change(change)


def _decode_targets(entries: Iterable[tuple[str, bytes]]) -> Iterator[Target]:
    for name, content in entries:
        target = decode_target(name, content)
        if target is not None:
            yield target
