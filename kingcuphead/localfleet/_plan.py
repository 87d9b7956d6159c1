"""Which processes a local fleet has, and where they listen."""

import configparser
import dataclasses
import hashlib
import io
import random
import socket
from collections.abc import Iterator

#: The one address that a local fleet uses.
LOOPBACK = "127.0.0.1"
#: Token of the operators of a local fleet.
OPERATOR_TOKEN = "local-operator"
#: Zones of the daemons, in turn.
ZONES = ("zone-a", "zone-b", "zone-c")
#: Region of a local fleet.
REGION = "region-1"
#: Ports that local fleets use.
PORT_RANGE = range(12_000, 32_000)
#: Shards of a local fleet.
SHARDS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonPlan:
    """One daemon."""

    #: Instance name.
    name: str
    #: Availability zone.
    zone: str
    #: Port of the callers' API.
    caller_port: int
    #: Port of the operators' API.
    operator_port: int
    #: Port of the messages between daemons.
    peer_port: int

    @property
    def caller_url(self) -> str:
        """Address for callers."""
        return f"http://{LOOPBACK}:{self.caller_port}"

    @property
    def operator_address(self) -> str:
        """Address for operators."""
        return f"{LOOPBACK}:{self.operator_port}"


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePlan:
    """One stand-in model engine."""

    #: Target name.
    name: str
    #: Port.
    port: int
    #: Models, as the command line of the stand-in takes them.
    models: tuple[str, ...]
    #: Further options of the stand-in.
    options: tuple[str, ...] = ()

    @property
    def address(self) -> str:
        """Address as a target."""
        return f"{LOOPBACK}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """One stand-in plain service."""

    #: Target name.
    name: str
    #: Port.
    port: int

    @property
    def address(self) -> str:
        """Address as a target."""
        return f"{LOOPBACK}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """A whole local fleet."""

    #: Port of the stand-in platform.
    platform_port: int
    #: The daemons.
    daemons: tuple[DaemonPlan, ...]
    #: The engines.
    engines: tuple[EnginePlan, ...]
    #: The plain services.
    services: tuple[ServicePlan, ...]

    @property
    def platform_url(self) -> str:
        """Address of the stand-in platform."""
        return f"http://{LOOPBACK}:{self.platform_port}"


def make_plan(
    daemons: int,
    engines: int,
    services: int = 1,
    models: tuple[str, ...] = ("plan-review",),
    engine_options: tuple[str, ...] = (),
) -> FleetPlan:
    """Plan a fleet on ports that are free now.

    Parameters
    ----------
    daemons, engines, services
        Numbers of processes.
    models
        Models that every engine serves.
    engine_options
        Further options of every engine.
    """
    ports = iter(find_free_ports(1 + 3 * daemons + engines + services))
    return FleetPlan(
        platform_port=next(ports),
        daemons=tuple(_plan_daemon(number, ports) for number in range(daemons)),
        engines=tuple(
            EnginePlan(f"runner-{number}", next(ports), models, engine_options)
            for number in range(engines)
        ),
        services=tuple(
            ServicePlan(f"desk-{number}", next(ports)) for number in range(services)
        ),
    )


def plan_replacement(plan: DaemonPlan, number: int) -> DaemonPlan:
    """Plan the daemon that replaces another: a new name on new ports."""
    ports = iter(find_free_ports(3))
    return DaemonPlan(
        f"{plan.name}-r{number}", plan.zone, next(ports), next(ports), next(ports)
    )


def find_free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on.

    They lie below the range from which the system takes ports for outgoing
    connections, or such a connection could take one before its process listens.
    """
    ports: list[int] = []
    candidates = random.SystemRandom().sample(PORT_RANGE, len(PORT_RANGE))
    for port in candidates:
        if len(ports) == count:
            break
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def format_settings(
    plan: FleetPlan, daemon: DaemonPlan, overrides: dict[str, dict[str, str]]
) -> str:
    """Return the settings file of a daemon.

    Parameters
    ----------
    plan
        The fleet.
    daemon
        The daemon.
    overrides
        Keys to set, by section.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(_make_sections(plan, daemon))
    parser.read_dict(overrides)
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()


def _make_sections(plan: FleetPlan, daemon: DaemonPlan) -> dict[str, dict[str, object]]:
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return {
        "instance": {"name": daemon.name, "zone": daemon.zone, "region": REGION},
        "listen": {
            "address": LOOPBACK,
            "caller_port": daemon.caller_port,
            "operator_port": daemon.operator_port,
            "peer_port": daemon.peer_port,
        },
        "platform": {"url": plan.platform_url, "poll_interval_seconds": 0.5},
        "operators": {"token_digests": digest},
        "budgets": {"shards": SHARDS, "flush_interval_seconds": 0.1},
        "peers": {"probe_interval_seconds": 0.2, "suspect_timeout_seconds": 2},
        "configuration": {"poll_interval_seconds": 0.5},
        "logs": {"format": "json", "level": "info"},
    }


def _plan_daemon(number: int, ports: Iterator[int]) -> DaemonPlan:
    zone = ZONES[number % len(ZONES)]
    return DaemonPlan(f"entry-{number}", zone, next(ports), next(ports), next(ports))
