"""Messages that the watcher takes and returns."""

import dataclasses
import enum
from typing import TypeAlias

from kingcuphead.records import Configuration
from kingcuphead.storage import Row


class Freshness(enum.StrEnum):
    """How sure a daemon is that its revision is the newest."""

    #: No configuration has arrived since the start.
    MISSING = "missing"
    #: Confirmed lately.
    FRESH = "fresh"
    #: Not confirmed for a while; requests are still served.
    STALE = "stale"
    #: Not confirmed for so long that requests are refused.
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The head row arrived."""

    #: Number of the read that it answers.
    attempt: int
    #: The row, or None where there is none.
    row: Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRead:
    """Rows of changes arrived."""

    #: Number of the read that they answer.
    attempt: int
    #: The rows in order of revision.
    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRead:
    """One page of records arrived."""

    #: Number of the read that it answers.
    attempt: int
    #: The rows.
    rows: tuple[Row, ...]
    #: Key to continue after, or None on the last page.
    resume_after: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """A read failed."""

    #: Number of the read.
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRevision:
    """A peer says which revision it has in force."""

    #: Name of the peer.
    instance: str
    #: Its revision.
    revision: int
    #: Local time at which the revision was certainly the newest one, or None.
    #: Work it out as the time of the question less the age in the answer, so
    #: that delay on the way makes it older, never newer.
    confirmed_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRequested:
    """A peer asks for the whole configuration."""

    #: Name of the peer that asks.
    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """A peer sends the whole configuration."""

    #: Name of the peer that sends it.
    sender: str
    #: Head row and records, as `encode_offer` writes them.
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RefreshRequested:
    """Read the head row now, for example before a change is prepared."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


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
    """Read the head row."""

    #: Number to answer with.
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """Read rows of changes at one moment."""

    #: Number to answer with.
    attempt: int
    #: Keys of the rows.
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScanRequested:
    """Read one page of records."""

    #: Number to answer with.
    attempt: int
    #: Prefix of the keys.
    prefix: str
    #: Key to continue after, or None for the first page.
    after: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A higher revision is in force from now on."""

    #: The configuration.
    configuration: Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionRefused:
    """A revision was seen that this daemon does not put in force."""

    #: The revision.
    revision: int
    #: Why, in English.
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAsked:
    """Send `ConfigurationRequested` to a peer."""

    #: Name of the peer.
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Send the whole configuration to a peer."""

    #: Name of the peer.
    instance: str
    #: What to send.
    offer: ConfigurationOffered


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessChanged:
    """The daemon became more or less sure of its revision."""

    #: The new state.
    freshness: Freshness


WatcherEffect: TypeAlias = (
    HeadRequested
    | ReadRequested
    | ScanRequested
    | ConfigurationApplied
    | RevisionRefused
    | PeerAsked
    | PeerAnswered
    | FreshnessChanged
)
