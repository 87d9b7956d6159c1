"""Sections of the settings file as frozen data classes with value constraints."""

import dataclasses
from typing import Annotated

import msgspec

from kingcuphead.logs import LogSettings

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
    str, msgspec.Meta(pattern=f"^{ADDRESS}$", description="an IPv4 address")
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


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Identity and location of this daemon's instance."""

    #: Instance name, never reused; a replacement instance gets a new name.
    name: Name
    #: Availability zone of the instance.
    zone: Name
    #: Region of the availability zone.
    region: Name


@dataclasses.dataclass(frozen=True, slots=True)
class ListenSettings:
    """Address and ports that the daemon listens on."""

    #: IPv4 address of the instance.
    address: Address
    #: TCP port of the callers' API.
    caller_port: Port = 8080
    #: TCP port of the operators' API.
    operator_port: Port = 8081
    #: TCP port for messages between daemons.
    peer_port: Port = 8082


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Address and timeouts of the platform's services."""

    #: Base URL of the platform's services.
    url: Url
    #: Timeout of a call in seconds.
    timeout_seconds: Seconds = 2.0
    #: Poll interval of the instance list in seconds.
    poll_interval_seconds: Seconds = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Authentication of the operators' API."""

    #: SHA-256 digests of the accepted operator tokens.
    token_digests: Digests


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on a single request and on all requests of the daemon together."""

    #: Maximum size of a request body in bytes.
    body_bytes: Annotated[int, msgspec.Meta(ge=1024, le=268_435_456)] = 4_194_304
    #: Maximum size of a request's headers in bytes.
    header_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1_048_576)] = 65_536
    #: Maximum number of concurrent requests in the daemon.
    concurrent_requests: Count = 2_000
    #: Seconds until the first token if neither caller nor work class sets a deadline.
    default_deadline_seconds: Seconds = 60.0
    #: Maximum number of queued requests.
    queue_length: Count = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Grants, holds and bills of token budgets."""

    #: Number of shards; must be the same on every daemon of the fleet.
    shards: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    #: Seconds between two batched commits of bills and grants.
    flush_interval_seconds: Seconds = 0.5
    #: Maximum time in seconds that a request waits for credit.
    hold_timeout_seconds: Seconds = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSettings:
    """Timeouts of requests to targets."""

    #: Connect timeout in seconds.
    connect_timeout_seconds: Seconds = 1.0
    #: Maximum time in seconds from the request to the first byte of the response.
    first_byte_timeout_seconds: Seconds = 60.0
    #: Maximum time in seconds between two parts of a response.
    idle_timeout_seconds: Seconds = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Probe interval and timeouts between daemons."""

    #: Interval in seconds between two probes of one peer.
    probe_interval_seconds: Seconds = 1.0
    #: Seconds after which a suspected peer counts as dead unless it sends a message or
    #: its refutation arrives as gossip.
    suspect_timeout_seconds: Seconds = 3.0
    #: Timeout of a request to a peer in seconds.
    request_timeout_seconds: Seconds = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """Polling of the configuration and limits on its staleness."""

    #: Poll interval of the configuration's revision in seconds.
    poll_interval_seconds: Seconds = 1.0
    #: Seconds without confirmation after which the daemon reports `stale`.
    stale_seconds: Seconds = 15.0
    #: Seconds without confirmation after which every request is refused.
    refuse_seconds: Annotated[float, msgspec.Meta(ge=1, le=604_800)] = 3_600.0


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Graceful shutdown of the daemon."""

    #: Seconds in which requests in flight may finish.
    grace_seconds: Seconds = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All sections of the settings file; each field is one section."""

    #: Section `[instance]`: identity of the daemon's instance.
    instance: InstanceSettings
    #: Section `[listen]`: address and ports to listen on.
    listen: ListenSettings
    #: Section `[platform]`: access to the platform's services.
    platform: PlatformSettings
    #: Section `[operators]`: authentication of operators.
    operators: OperatorSettings
    #: Section `[limits]`: limits on requests.
    limits: LimitSettings = LimitSettings()
    #: Section `[budgets]`: grants, holds and bills.
    budgets: BudgetSettings = BudgetSettings()
    #: Section `[targets]`: timeouts of requests to targets.
    targets: TargetSettings = TargetSettings()
    #: Section `[peers]`: communication between daemons.
    peers: PeerSettings = PeerSettings()
    #: Section `[configuration]`: polling and staleness of the configuration.
    configuration: ConfigurationSettings = ConfigurationSettings()
    #: Section `[shutdown]`: graceful shutdown.
    shutdown: ShutdownSettings = ShutdownSettings()
    #: Section `[logs]`: format and level of the log.
    logs: LogSettings = LogSettings()
