"""Starts and stops the processes of a local fleet and injects faults."""

import asyncio
import dataclasses
import signal
import tempfile
from pathlib import Path

import msgspec

from kingcuphead.localfleet._client import LocalClient
from kingcuphead.localfleet._plan import (
    LOOPBACK,
    DaemonPlan,
    EnginePlan,
    FleetPlan,
    ServicePlan,
    format_settings,
    plan_replacement,
)
from kingcuphead.localfleet._process import LocalProcess
from kingcuphead.storage import Instance, InstanceState

#: Service of the daemons in the platform's instance list.
DAEMON_SERVICE = "kingcuphead"
#: Service of the engines in the instance list and the configuration.
ENGINE_SERVICE = "runners"
#: Service of the plain services in the instance list and the configuration.
PLAIN_SERVICE = "order-desk"


class LocalFleet:
    """Running processes of a fleet plan.

    Parameters
    ----------
    plan
        Processes to start.
    overrides
        Settings of all daemons that replace the defaults, by section and key.
    """

    def __init__(
        self, plan: FleetPlan, overrides: dict[str, dict[str, str]] | None = None
    ) -> None:
        #: Processes that the fleet was planned with.
        self.plan = plan
        #: HTTP client for requests to the processes.
        self.client = LocalClient()
        self._overrides = overrides or {}
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, LocalProcess] = {}
        self._daemons = {daemon.name: daemon for daemon in plan.daemons}
        self._replacements = 0

    @property
    def daemons(self) -> tuple[DaemonPlan, ...]:
        """The daemons of the plan that were not replaced, and the replacements."""
        return tuple(self._daemons.values())

    def get_daemon(self, name: str) -> DaemonPlan:
        """Return the plan of a daemon that has not been replaced."""
        return self._daemons[name]

    def get_process(self, name: str) -> LocalProcess:
        """Return the process with a name."""
        return self._processes[name]

    async def start(self) -> None:
        """Start the platform, then engines and plain services, then the daemons."""
        await self._start_platform()
        targets = [self.start_engine(engine) for engine in self.plan.engines]
        targets += [self.start_service(service) for service in self.plan.services]
        await asyncio.gather(*targets)
        await asyncio.gather(*(self.start_daemon(d) for d in self.plan.daemons))

    async def start_daemon(self, daemon: DaemonPlan) -> None:
        """Register a daemon in the platform's instance list and start it."""
        path = Path(self._folder.name) / f"{daemon.name}.ini"
        path.write_text(format_settings(self.plan, daemon, self._overrides))
        await self.set_instance_state(daemon.name, InstanceState.LIVE)
        arguments = ("--config", str(path))
        process = self._add_process(daemon.name, "kingcuphead.daemon", arguments)
        await process.start(LOOPBACK, daemon.caller_port)

    async def replace_daemon(self, name: str) -> DaemonPlan:
        """Start a replacement, with a new name and new ports, for an ended daemon."""
        self._replacements += 1
        new = plan_replacement(self._daemons.pop(name), self._replacements)
        self._daemons[new.name] = new
        await self.start_daemon(new)
        return new

    async def start_engine(self, engine: EnginePlan) -> None:
        """Start an engine and register it in the platform's instance list."""
        arguments = (
            *("--port", str(engine.port)),
            *("--name", engine.name),
            *("--models", ",".join(engine.models)),
            *engine.options,
        )
        process = self._add_process(
            engine.name, "kingcuphead.standins.engine", arguments
        )
        await process.start(LOOPBACK, engine.port)
        await self.set_instance_state(engine.name, InstanceState.LIVE)

    async def start_service(self, service: ServicePlan) -> None:
        """Start a plain service and register it in the platform's instance list."""
        arguments = ("--port", str(service.port), "--name", service.name)
        process = self._add_process(
            service.name, "kingcuphead.standins.service", arguments
        )
        await process.start(LOOPBACK, service.port)
        await self.set_instance_state(service.name, InstanceState.LIVE)

    async def set_instance_state(self, name: str, state: InstanceState) -> None:
        """Set the state of an instance in the platform's instance list."""
        instance = dataclasses.replace(self._make_instance(name), state=state)
        body = msgspec.json.encode({"instances": [instance]})
        await self.client.post(f"{self.plan.platform_url}/instances", body)

    async def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait until it has exited."""
        await self._processes[name].kill()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        self._processes[name].send_signal(number)

    async def set_switches(self, url: str, switches: object) -> None:
        """Set the fault switches of the stand-in at a URL."""
        await self.client.post(f"{url}/switches", msgspec.json.encode(switches))

    async def close(self) -> None:
        """Kill all processes and delete their settings and logs."""
        processes = self._processes.values()
        await asyncio.gather(*(process.kill() for process in processes))
        self.client.close()
        self._folder.cleanup()

    async def _start_platform(self) -> None:
        port = self.plan.platform_port
        arguments = ("--port", str(port))
        process = self._add_process(
            "platform", "kingcuphead.standins.platform", arguments
        )
        await process.start(LOOPBACK, port)

    def _add_process(
        self, name: str, module: str, arguments: tuple[str, ...]
    ) -> LocalProcess:
        folder = Path(self._folder.name)
        process = LocalProcess(name, module, arguments, folder)
        self._processes[name] = process
        return process

    def _make_instance(self, name: str) -> Instance:
        """Return the entry of a live instance in the platform's instance list."""
        live = InstanceState.LIVE
        if name in self._daemons:
            daemon = self._daemons[name]
            address = f"{LOOPBACK}:{daemon.peer_port}"
            return Instance(name, DAEMON_SERVICE, daemon.zone, address, live)
        for engine in self.plan.engines:
            if engine.name == name:
                return Instance(name, ENGINE_SERVICE, "zone-a", engine.address, live)
        for service in self.plan.services:
            if service.name == name:
                return Instance(name, PLAIN_SERVICE, "zone-a", service.address, live)
        raise KeyError(name)
