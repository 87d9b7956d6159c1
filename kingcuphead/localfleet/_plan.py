"""Processes of a local fleet, their ports and their settings."""

import configparser
import dataclasses
import hashlib
import io
import random
import socket
from collections.abc import Iterator

#: Address that all processes of a local fleet listen on.
LOOPBACK = "127.0.0.1"
#: Operator token that all daemons of a local fleet accept.
OPERATOR_TOKEN = "local-operator"
#: Availability zones, assigned to the daemons in rotation.
ZONES = ("zone-a", "zone-b", "zone-c")
#: Region of all daemons.
REGION = "region-1"
#: Ports that local fleets choose from; see `find_free_ports`.
PORT_RANGE = range(12_000, 32_000)
#: Number of shards of the budgets.
SHARDS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonPlan:
    """Name, zone and ports of a daemon."""

    #: Instance name, unique in the fleet.
    name: str
    #: Availability zone in the daemon's settings and the instance list.
    zone: str
    #: Port of the callers' API.
    caller_port: int
    #: Port of the operators' API.
    operator_port: int
    #: Port for messages between daemons.
    peer_port: int

    @property
    def caller_url(self) -> str:
        """Base URL of the callers' API."""
        return f"http://{LOOPBACK}:{self.caller_port}"

    @property
    def operator_address(self) -> str:
        """Address of the operators' API, as IP:PORT."""
        return f"{LOOPBACK}:{self.operator_port}"


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePlan:
    """Name, port and options of a stand-in model engine."""

    #: Target name.
    name: str
    #: TCP port of the HTTP server.
    port: int
    #: Models it serves, each in the syntax of the stand-in's `--models` option.
    models: tuple[str, ...]
    #: Additional command-line options of the stand-in.
    options: tuple[str, ...] = ()

    @property
    def address(self) -> str:
        """Address of the target, as IP:PORT."""
        return f"{LOOPBACK}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """Name and port of a stand-in plain service."""

    #: Target name.
    name: str
    #: TCP port of the HTTP server.
    port: int

    @property
    def address(self) -> str:
        """Address of the target, as IP:PORT."""
        return f"{LOOPBACK}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """All processes of a local fleet."""

    #: TCP port of the stand-in platform.
    platform_port: int
    #: Daemons that the fleet starts with.
    daemons: tuple[DaemonPlan, ...]
    #: Stand-in model engines.
    engines: tuple[EnginePlan, ...]
    #: Stand-in plain services.
    services: tuple[ServicePlan, ...]

    @property
    def platform_url(self) -> str:
        """Base URL of the stand-in platform."""
        return f"http://{LOOPBACK}:{self.platform_port}"


def make_plan(
    daemons: int,
    engines: int,
    services: int = 1,
    models: tuple[str, ...] = ("plan-review",),
    engine_options: tuple[str, ...] = (),
) -> FleetPlan:
    """Plan a fleet on ports that are currently free.

    Parameters
    ----------
    daemons, engines, services
        Number of processes of each kind.
    models
        Models that each engine serves.
    engine_options
        Additional command-line options of each engine.
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
    """Plan a replacement of a daemon, with a new name and new ports."""
    ports = iter(find_free_ports(3))
    return DaemonPlan(
        f"{plan.name}-r{number}", plan.zone, next(ports), next(ports), next(ports)
    )


def find_free_ports(count: int) -> list[int]:
    """Return random ports that no process listens on.

    They are below the operating system's ephemeral port range; otherwise an outgoing
    connection could occupy a port before its process listens on it.
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
    """Return the text of a daemon's settings file.

    Parameters
    ----------
    plan
        The fleet, which determines the address of the platform.
    daemon
        The daemon to configure.
    overrides
        Values that replace the defaults, by section and key.
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
