"""The settings file that the platform writes for each process."""

import dataclasses
from collections.abc import Iterator, Mapping

from expression import Error, Ok, Result

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "KINGCUPHEAD_CONFIG"
#: Where the platform asks whether a daemon takes callers.
READINESS_PATH = "/api/ready"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP number and a port."""

    #: IP number.
    host: str
    #: Port.
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """How many repeats the whole fleet may send to one service."""

    #: Repeats for each request of callers.
    ratio: float
    #: Repeats beyond that.
    burst: int
    #: Seconds over which both are counted.
    window: float


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """What the platform tells a process about itself and its surroundings."""

    #: Name of the instance.
    instance: str
    #: Availability zone of the instance.
    zone: str
    #: IP number of the instance.
    ip: str
    #: Where callers connect.
    callers: Endpoint
    #: Where the platform asks whether this process takes callers.
    readiness: Endpoint
    #: First port for the project's own use between instances.
    internal_port: int
    #: Address of the platform's store.
    store: Endpoint
    #: Most descriptors of the process.
    max_descriptors: int
    #: Seconds between SIGTERM and SIGKILL.
    grace: float
    #: Seconds within which a removed target gets its last request.
    drain: float
    #: Bound on repeats.
    retries: RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class ProfileFault:
    """The settings file can't be used."""

    #: Key at fault; empty where the file itself can't be read.
    key: str
    #: What is wrong, in English.
    cause: str


def read_profile(path: str) -> Result[Profile, ProfileFault]:
    """Read and check the settings file at a path."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Error(ProfileFault("", f"{path}: {error}"))
    return parse_profile(text)


def parse_profile(text: str) -> Result[Profile, ProfileFault]:
    """Check the text of a settings file; unknown keys are ignored."""
    values = dict(_split_lines(text))
    key = ""
    try:
        for key in _REQUIRED:
            values[key]
        return Ok(_make_profile(_Reader(values)))
    except KeyError:
        return Error(ProfileFault(key, "missing"))
    except _FaultyValueError as error:
        return Error(ProfileFault(error.key, error.cause))


_REQUIRED = ("node", "zone", "ip", "listen.front", "listen.ready", "platform.address")


class _FaultyValueError(Exception):
    def __init__(self, key: str, cause: str) -> None:
        super().__init__(key, cause)
        self.key = key
        self.cause = cause


class _Reader:
    """Converts values and remembers which key was at fault."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def get_text(self, key: str) -> str:
        return self._values[key]

    def get_number(self, key: str, default: float) -> float:
        text = self._values.get(key, "")
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            raise _FaultyValueError(key, f"{text!r} is no number") from None

    def get_endpoint(self, key: str) -> Endpoint:
        host, _, port = self._values[key].rpartition(":")
        if not host or not port.isdecimal():
            raise _FaultyValueError(key, f"{self._values[key]!r} is not IP:PORT")
        return Endpoint(host, int(port))

    def get_first_number(self, key: str, default: int) -> int:
        first = self._values.get(key, "").partition(",")[0]
        return int(first) if first.isdecimal() else default


def _split_lines(text: str) -> Iterator[tuple[str, str]]:
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            yield key.strip(), value.strip()


def _make_profile(reader: _Reader) -> Profile:
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
    )
