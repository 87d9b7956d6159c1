"""Parser of the settings file that the platform writes for each process."""

import dataclasses
import math
from collections.abc import Iterator, Mapping

from expression import Error, Ok, Result

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "KINGCUPHEAD_CONFIG"
#: Path of the platform's readiness probe.
READINESS_PATH = "/api/ready"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """IP address and port of a TCP endpoint."""

    #: IP address as text.
    host: str
    #: TCP port number.
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Bound on the retries that all daemons together send to one service."""

    #: Retries per caller request.
    ratio: float
    #: Retries in addition to the ratio's share.
    burst: int
    #: Length in seconds of the window over which both are counted.
    window: float


#: Memory of the smallest instance in MB.
SMALLEST_MEMORY_MB = 160
BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
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
    #: Memory of the process in bytes.
    memory_bytes: int = SMALLEST_MEMORY_MB * BYTES_PER_MB
    #: Names of the platform's rules that apply to this deployment.
    contracts: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
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


_REQUIRED = ("node", "zone", "ip", "listen.front", "listen.ready", "platform.address")


class _InvalidValueError(Exception):
    def __init__(self, key: str, cause: str) -> None:
        super().__init__(key, cause)
        self.key = key
        self.cause = cause


class _ValueReader:
    """Converts raw values; raises `_InvalidValueError` with the key on failure."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

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

    def get_endpoint(self, key: str) -> Endpoint:
        host, _, port = self._values[key].rpartition(":")
        if not host or not port.isdecimal():
            raise _InvalidValueError(key, f"{self._values[key]!r} is not IP:PORT")
        return Endpoint(host, int(port))

    def get_first_number(self, key: str, default: int) -> int:
        first = self._values.get(key, "").partition(",")[0]
        return int(first) if first.isdecimal() else default

    def get_memory(self, key: str) -> int:
        """Return a number of MB in bytes; the smallest one if it can't be read."""
        try:
            memory = int(float(self._values.get(key, "")) * BYTES_PER_MB)
        except (ValueError, OverflowError):
            memory = 0
        return memory if memory > 0 else SMALLEST_MEMORY_MB * BYTES_PER_MB

    def get_names(self, key: str) -> frozenset[str]:
        names = self._values.get(key, "").split(",")
        return frozenset(name.strip() for name in names if name.strip())


def _parse_lines(text: str) -> Iterator[tuple[str, str]]:
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            yield key.strip(), value.strip()


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
        memory_bytes=reader.get_memory("limits.memory_mb"),
        contracts=reader.get_names("contracts"),
    )
