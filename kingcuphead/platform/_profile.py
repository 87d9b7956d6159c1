"""Parser of the settings file that the platform writes for each process."""

import math
import re
from collections.abc import Iterator, Mapping

from expression import Error, Ok, Result

from kingcuphead.frozen import frozen
from kingcuphead.permits import ColdBounds
from kingcuphead.platform._numbers import read_number
from kingcuphead.targets import DEFAULT_HEARTBEAT

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "KINGCUPHEAD_CONFIG"
#: Path of the platform's readiness probe.
READINESS_PATH = "/api/ready"
#: Largest capacity in Mbit/s of a link that the callers of one daemon may fill.
MAX_NARROW_LINK_MBPS = 200.0

#: Contracts under which callers compete for capacity.
_SCARCITY_CONTRACTS = frozenset({"pressure", "places"})
#: Contract under which an engine crashes when its memory is overfilled.
_CRASH_CONTRACT = "pressure"
#: Share of the cores that replaces an invalid one: the smallest known.
_SMALLEST_CPU_SHARE = 0.31
#: Keys without which a settings file is rejected.
_REQUIRED = ("node", "zone", "ip", "listen.front", "listen.ready", "platform.address")


@frozen
class Endpoint:
    """IP address and port of a TCP endpoint."""

    #: IP address as text.
    host: str
    #: TCP port number.
    port: int


@frozen
class RetryBudget:
    """Bound on the retries that all daemons together send to one service."""

    #: Retries per caller request.
    ratio: float
    #: Retries in addition to the ratio's share.
    burst: int
    #: Length in seconds of the window over which both are counted.
    window: float


@frozen
class InstanceLimits:
    """Resources of the instance; the defaults are the smallest known."""

    #: Number of processor cores.
    cores: float = 0.387
    #: Share of the cores that the process may use.
    cpu_share: float = 1.0
    #: Memory of the process in megabytes.
    memory_mb: float = 160.0
    #: Capacity of the link in Mbit/s, each way.
    link_mbps: float = 5.0

    @property
    def has_narrow_link(self) -> bool:
        """Whether the load that callers bring may fill the link."""
        return self.link_mbps <= MAX_NARROW_LINK_MBPS

    @property
    def memory_bytes(self) -> int:
        """Memory of the process in bytes."""
        return int(self.memory_mb * 1_000_000)


@frozen
class Profile:
    """Settings that the platform writes for one process."""

    #: Name of the instance that the process runs on.
    instance: str
    #: Availability zone of the instance.
    zone: str
    #: IP address of the instance.
    ip: str
    #: Endpoint to listen on for callers.
    callers: Endpoint
    #: Endpoint to listen on for the platform's readiness probe.
    readiness: Endpoint
    #: First port of the range for traffic between instances; 0 if none is set.
    internal_port: int
    #: Endpoint of the platform's store.
    store: Endpoint
    #: Maximum number of open file descriptors of the process.
    max_descriptors: int
    #: Seconds between SIGTERM and SIGKILL.
    grace: float
    #: Seconds after the removal of a target in which requests may still reach it.
    drain: float
    #: Bound on retries per service.
    retries: RetryBudget
    #: Resources of the instance.
    limits: InstanceLimits = InstanceLimits()
    #: Whether the settings state the capacity of the link.
    is_link_stated: bool = False
    #: Whether callers may need more than instances or targets can serve.
    has_scarce_capacity: bool = False
    #: Whether an engine that holds more tokens than its memory has room for crashes.
    engines_crash_when_full: bool = False
    #: Seconds between two writes of a target's entry.
    heartbeat: float = DEFAULT_HEARTBEAT
    #: Bound on the requests that a cold target gets in one second.
    cold_bounds: ColdBounds = ColdBounds()

    @property
    def is_constrained(self) -> bool:
        """Whether callers may need more than this instance can serve."""
        return self.has_scarce_capacity or self.limits.has_narrow_link

    @property
    def states_narrow_link(self) -> bool:
        """Whether the settings state a link that callers may fill."""
        return self.is_link_stated and self.limits.has_narrow_link


@frozen
class ProfileFault:
    """Reason why a settings file is rejected."""

    #: Invalid or missing key; empty if the file itself cannot be read.
    key: str
    #: Description of the error, in English.
    cause: str


def read_profile(path: str) -> Result[Profile, ProfileFault]:
    """Read and validate the settings file at a path."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Error(ProfileFault("", f"{path}: {error}"))
    return parse_profile(text)


def parse_profile(text: str) -> Result[Profile, ProfileFault]:
    """Parse and validate the text of a settings file; unknown keys are ignored."""
    values = dict(_parse_lines(text))
    key = ""
    try:
        for key in _REQUIRED:
            values[key]
        return Ok(_make_profile(_ValueReader(values)))
    except KeyError:
        return Error(ProfileFault(key, "missing"))
    except _InvalidValueError as error:
        return Error(ProfileFault(error.key, error.cause))


class _InvalidValueError(Exception):
    def __init__(self, key: str, cause: str) -> None:
        super().__init__(key, cause)
        self.key = key
        self.cause = cause


class _ValueReader:
    """Converts raw values; raises `_InvalidValueError` with the key on failure."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def has_value(self, key: str) -> bool:
        return bool(self._values.get(key, ""))

    def get_text(self, key: str) -> str:
        return self._values[key]

    def get_number(self, key: str, default: float) -> float:
        text = self._values.get(key, "")
        if not text:
            return default
        try:
            number = float(text)
        except ValueError:
            raise _InvalidValueError(key, f"{text!r} is not a number") from None
        if not math.isfinite(number):
            raise _InvalidValueError(key, f"{text!r} is not finite")
        return number

    def get_names(self, key: str) -> frozenset[str]:
        return frozenset(re.findall(r"[\w-]+", self._values.get(key, "")))

    def get_lenient_number(
        self, key: str, default: float, fallback: float, is_positive: bool = False
    ) -> float:
        """Return the default for a missing number, the fallback for an invalid one."""
        text = self._values.get(key, "")
        return read_number(key, text, fallback, is_positive) if text else default

    def get_endpoint(self, key: str) -> Endpoint:
        host, _, port = self._values[key].rpartition(":")
        if not host or not port.isdecimal():
            raise _InvalidValueError(key, f"{self._values[key]!r} is not IP:PORT")
        return Endpoint(host, int(port))

    def get_first_number(self, key: str, default: int) -> int:
        first = self._values.get(key, "").partition(",")[0]
        return int(first) if first.isdecimal() else default


def _parse_lines(text: str) -> Iterator[tuple[str, str]]:
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            yield key.strip(), value.strip()


def _make_limits(reader: _ValueReader) -> InstanceLimits:
    smallest = InstanceLimits()

    def get_limit(name: str, default: float, fallback: float | None = None) -> float:
        return reader.get_lenient_number(
            f"limits.{name}",
            default,
            default if fallback is None else fallback,
            is_positive=True,
        )

    return InstanceLimits(
        cores=get_limit("cores", smallest.cores),
        cpu_share=get_limit("cpu_share", smallest.cpu_share, _SMALLEST_CPU_SHARE),
        memory_mb=get_limit("memory_mb", smallest.memory_mb),
        link_mbps=get_limit("link_mbps", smallest.link_mbps),
    )


def _read_heartbeat(reader: _ValueReader) -> float:
    default = DEFAULT_HEARTBEAT * 1000
    return reader.get_lenient_number("heartbeat_ms", default, default, True) / 1000


def _make_profile(reader: _ValueReader) -> Profile:
    return Profile(
        instance=reader.get_text("node"),
        zone=reader.get_text("zone"),
        ip=reader.get_text("ip"),
        callers=reader.get_endpoint("listen.front"),
        readiness=reader.get_endpoint("listen.ready"),
        internal_port=reader.get_first_number("internal_ports", 0),
        store=reader.get_endpoint("platform.address"),
        max_descriptors=int(reader.get_number("limits.max_fds", 1024)),
        grace=reader.get_number("bounds.grace_s", 8.0),
        drain=reader.get_number("bounds.drain_ms", 2000.0) / 1000,
        retries=RetryBudget(
            ratio=reader.get_number("bounds.retry_budget_ratio", 0.1),
            burst=int(reader.get_number("bounds.retry_budget_burst", 10)),
            window=reader.get_number("bounds.budget_window_s", 10.0),
        ),
        limits=_make_limits(reader),
        is_link_stated=reader.has_value("limits.link_mbps"),
        has_scarce_capacity=not _SCARCITY_CONTRACTS.isdisjoint(
            reader.get_names("contracts")
        ),
        engines_crash_when_full=_CRASH_CONTRACT in reader.get_names("contracts"),
        heartbeat=_read_heartbeat(reader),
        cold_bounds=ColdBounds(
            ratio=reader.get_lenient_number("bounds.cold_over", 1.5, 1.0),
            extra=reader.get_lenient_number("bounds.cold_slack", 5.0, 1.0),
        ),
    )
