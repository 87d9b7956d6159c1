"""Sections of the settings file, each a frozen data class with its bounds."""

import dataclasses
import enum
from typing import Annotated

import msgspec

OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
ADDRESS = rf"{OCTET}(\.{OCTET}){{3}}"

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$",
        description="lower-case letters, digits, '.', '_' and '-', at most 63",
    ),
]
Address = Annotated[
    str, msgspec.Meta(pattern=f"^{ADDRESS}$", description="an IPv4 number")
]
Url = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^http://{ADDRESS}:[0-9]{{1,5}}$", description="http://IP:PORT"
    ),
]
Digest = Annotated[
    str,
    msgspec.Meta(
        pattern="^[0-9a-f]{64}$", description="SHA-256 digest, 64 hexadecimal digits"
    ),
]
Digests = Annotated[
    tuple[Digest, ...],
    msgspec.Meta(
        min_length=1,
        description="SHA-256 digests of 64 hexadecimal digits, separated by spaces",
    ),
]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = Annotated[float, msgspec.Meta(ge=0.01, le=86400)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class LogFormat(enum.StrEnum):
    """Form of a log line."""

    JSON = "json"
    TEXT = "text"


class LogLevel(enum.StrEnum):
    """Least severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Who this daemon is."""

    #: Instance name, unique for ever; a replacement takes a new one.
    name: Name
    #: Availability zone.
    zone: Name
    #: Region.
    region: Name


@dataclasses.dataclass(frozen=True, slots=True)
class ListenSettings:
    """Where the daemon listens."""

    #: IP number of the instance.
    address: Address
    #: Port of the callers' API.
    caller_port: Port = 8080
    #: Port of the operators' API.
    operator_port: Port = 8081
    #: Port of the messages between daemons.
    peer_port: Port = 8082


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """How the platform is reached."""

    #: Base address of the platform's services.
    url: Url
    #: Seconds before a call counts as lost.
    timeout_seconds: Seconds = 2.0
    #: Seconds between two readings of the instance list.
    poll_interval_seconds: Seconds = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Who may use the operators' API."""

    #: SHA-256 digests of the operators' tokens.
    token_digests: Digests


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds on what one caller or all of them may occupy."""

    #: Largest request body in bytes.
    body_bytes: Annotated[int, msgspec.Meta(ge=1024, le=268_435_456)] = 4_194_304
    #: Largest request header in bytes.
    header_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1_048_576)] = 65_536
    #: Most requests in the daemon at once.
    concurrent_requests: Count = 2_000
    #: Seconds to the first token where neither caller nor class gives a deadline.
    default_deadline_seconds: Seconds = 60.0
    #: Most requests in the queue.
    queue_length: Count = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSettings:
    """How spending authority is taken, held and handed back."""

    #: Number of bill buckets; the same on every daemon of the fleet.
    shards: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    #: Seconds between two batches of bills and grants.
    flush_interval_seconds: Seconds = 0.5
    #: Seconds that a request may wait for credit.
    hold_timeout_seconds: Seconds = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSettings:
    """Time limits towards targets."""

    #: Seconds to open a connection.
    connect_timeout_seconds: Seconds = 1.0
    #: Seconds from the request to the first byte of the answer.
    first_byte_timeout_seconds: Seconds = 60.0
    #: Longest silence inside an answer in seconds.
    idle_timeout_seconds: Seconds = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Time limits between daemons."""

    #: Seconds between two probes of one peer.
    probe_interval_seconds: Seconds = 1.0
    #: Seconds of silence after which a peer is suspected.
    suspect_timeout_seconds: Seconds = 3.0
    #: Seconds that an answer to a request may take.
    request_timeout_seconds: Seconds = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """How the configuration is followed."""

    #: Seconds between two readings of the revision.
    poll_interval_seconds: Seconds = 1.0
    #: Seconds without confirmation after which the daemon reports `stale`.
    stale_seconds: Seconds = 15.0
    #: Seconds without confirmation after which every request is refused.
    refuse_seconds: Annotated[float, msgspec.Meta(ge=1, le=604_800)] = 3_600.0


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """How the daemon ends."""

    #: Seconds that requests in flight may take to finish.
    grace_seconds: Seconds = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Form and amount of the log."""

    #: Form of a line.
    format: LogFormat = LogFormat.JSON
    #: Least severity that is logged.
    level: LogLevel = LogLevel.INFO


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The whole settings file; each field is a section."""

    #: Section `[instance]`.
    instance: InstanceSettings
    #: Section `[listen]`.
    listen: ListenSettings
    #: Section `[platform]`.
    platform: PlatformSettings
    #: Section `[operators]`.
    operators: OperatorSettings
    #: Section `[limits]`.
    limits: LimitSettings = LimitSettings()
    #: Section `[budgets]`.
    budgets: BudgetSettings = BudgetSettings()
    #: Section `[targets]`.
    targets: TargetSettings = TargetSettings()
    #: Section `[peers]`.
    peers: PeerSettings = PeerSettings()
    #: Section `[configuration]`.
    configuration: ConfigurationSettings = ConfigurationSettings()
    #: Section `[shutdown]`.
    shutdown: ShutdownSettings = ShutdownSettings()
    #: Section `[logs]`.
    logs: LogSettings = LogSettings()
