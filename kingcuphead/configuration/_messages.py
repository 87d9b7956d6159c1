"""Messages and effects of the watcher."""

import dataclasses
import enum
from typing import TypeAlias

from kingcuphead.records import Configuration
from kingcuphead.storage import Row


class Freshness(enum.StrEnum):
    """Freshness of a daemon's configuration.

    It depends on the time since the revision was last confirmed as the newest one.
    """

    #: The daemon has had no configuration since its start.
    MISSING = "missing"
    #: Confirmed less than `WatchPolicy.stale_after` seconds ago.
    FRESH = "fresh"
    #: Confirmed at least `WatchPolicy.stale_after` seconds ago; requests are served.
    STALE = "stale"
    #: Confirmed at least `WatchPolicy.refuse_after` seconds ago, or never; requests
    #: are refused.
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The head row was read."""

    #: Number of the read, from `HeadRequested`.
    attempt: int
    #: The head row, or None if the table has none.
    row: Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRead:
    """Rows of changes were read."""

    #: Number of the read, from `ReadRequested`.
    attempt: int
    #: Requested rows that exist, in any order.
    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRead:
    """One page of record rows was read."""

    #: Number of the read, from `ScanRequested`.
    attempt: int
    #: Record rows of the page.
    rows: tuple[Row, ...]
    #: Key after which the next page starts, or None on the last page.
    resume_after: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """A read failed."""

    #: Number of the read, from its request.
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRevision:
    """A peer reported the revision that it has in force."""

    #: Name of the peer.
    instance: str
    #: Revision in force on the peer.
    revision: int
    #: Local time in seconds at which the revision is confirmed to have been the
    #: newest one, or None. It is the time at which the request was sent minus the
    #: age in the reply, so that network delay makes it earlier, never later.
    confirmed_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRequested:
    """A peer requested the complete configuration."""

    #: Name of the peer that receives the reply.
    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """A peer sent its complete configuration."""

    #: Name of the peer that sent it.
    sender: str
    #: Head row and records, encoded by `encode_offer`.
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RefreshRequested:
    """The head row has to be read now, for example before a change is built."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer fired."""


WatcherMessage: TypeAlias = (
    HeadRead
    | ChangesRead
    | RecordsRead
    | ReadFailed
    | PeerRevision
    | ConfigurationRequested
    | ConfigurationOffered
    | RefreshRequested
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRequested:
    """Read the head row and reply with `HeadRead` or `ReadFailed`."""

    #: Number of the read, copied into the reply.
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """Read rows of changes from one consistent snapshot.

    Reply with `ChangesRead` or `ReadFailed`.
    """

    #: Number of the read, copied into the reply.
    attempt: int
    #: Keys of the change rows, at most `CHANGES_PER_READ`.
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScanRequested:
    """Read one page of record rows and reply with `RecordsRead` or `ReadFailed`."""

    #: Number of the read, copied into the reply.
    attempt: int
    #: Key prefix of the rows to read.
    prefix: str
    #: Key after which the page starts, or None for the first page.
    after: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A higher revision is in force."""

    #: Configuration of the new revision.
    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionRefused:
    """A revision was received that this daemon rejects."""

    #: Number of the rejected revision, or 0 if unknown.
    revision: int
    #: Reason for the rejection, in English.
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class OfferRequested:
    """Send `ConfigurationRequested` to a peer with a higher revision."""

    #: Name of the peer that receives the request.
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class OfferReplied:
    """Send the complete configuration to a peer that requested it."""

    #: Name of the peer that receives the offer.
    instance: str
    #: Message to send.
    offer: ConfigurationOffered


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessChanged:
    """The freshness of the configuration changed."""

    #: New freshness.
    freshness: Freshness


WatcherEffect: TypeAlias = (
    HeadRequested
    | ReadRequested
    | ScanRequested
    | ConfigurationApplied
    | RevisionRefused
    | OfferRequested
    | OfferReplied
    | FreshnessChanged
)
