"""Starts, disturbs and ends the processes of a local fleet."""

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

#: Name of the daemons' own service in the instance list.
DAEMON_SERVICE = "kingcuphead"
#: Service of the engines.
ENGINE_SERVICE = "runners"
#: Service of the plain services.
PLAIN_SERVICE = "order-desk"


class LocalFleet:
    """The processes of one plan.

    Parameters
    ----------
    plan
        What to run.
    overrides
        Settings of every daemon that differ from the plan's, by section.
    """

    def __init__(
        self, plan: FleetPlan, overrides: dict[str, dict[str, str]] | None = None
    ) -> None:
        #: What runs.
        self.plan = plan
        #: Sends requests to the processes.
        self.client = LocalClient()
        self._overrides = overrides or {}
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, LocalProcess] = {}
        self._daemons = {daemon.name: daemon for daemon in plan.daemons}
        self._replacements = 0

    @property
    def daemons(self) -> tuple[DaemonPlan, ...]:
        """The daemons that were started and not replaced."""
        return tuple(self._daemons.values())

    def get_daemon(self, name: str) -> DaemonPlan:
        """Return a daemon by name."""
        return self._daemons[name]

    def get_process(self, name: str) -> LocalProcess:
        """Return a process by name."""
        return self._processes[name]

    async def start(self) -> None:
        """Start every process of the plan."""
        await self._start_platform()
        targets = [self.start_engine(engine) for engine in self.plan.engines]
        targets += [self.start_service(service) for service in self.plan.services]
        await asyncio.gather(*targets)
        await asyncio.gather(*(self.start_daemon(d) for d in self.plan.daemons))

    async def start_daemon(self, daemon: DaemonPlan) -> None:
        """List a daemon with the platform and start it."""
        path = Path(self._folder.name) / f"{daemon.name}.ini"
        path.write_text(format_settings(self.plan, daemon, self._overrides))
        await self.list_instance(daemon.name, InstanceState.LIVE)
        arguments = ("--config", str(path))
        process = self._add(daemon.name, "kingcuphead.daemon", arguments)
        await process.start(LOOPBACK, daemon.caller_port)

    async def replace_daemon(self, name: str) -> DaemonPlan:
        """Start a new instance in place of one that has ended."""
        self._replacements += 1
        new = plan_replacement(self._daemons.pop(name), self._replacements)
        self._daemons[new.name] = new
        await self.start_daemon(new)
        return new

    async def start_engine(self, engine: EnginePlan) -> None:
        """List an engine with the platform and start it."""
        arguments = (
            *("--port", str(engine.port)),
            *("--name", engine.name),
            *("--models", ",".join(engine.models)),
            *engine.options,
        )
        process = self._add(engine.name, "kingcuphead.standins.engine", arguments)
        await process.start(LOOPBACK, engine.port)
        await self.list_instance(engine.name, InstanceState.LIVE)

    async def start_service(self, service: ServicePlan) -> None:
        """List a plain service with the platform and start it."""
        arguments = ("--port", str(service.port), "--name", service.name)
        process = self._add(service.name, "kingcuphead.standins.service", arguments)
        await process.start(LOOPBACK, service.port)
        await self.list_instance(service.name, InstanceState.LIVE)

    async def list_instance(self, name: str, state: InstanceState) -> None:
        """Tell the platform's list the state of an instance."""
        instance = dataclasses.replace(self._describe(name), state=state)
        body = msgspec.json.encode({"instances": [instance]})
        await self.client.post(f"{self.plan.platform_url}/instances", body)

    async def kill(self, name: str) -> None:
        """End a process without warning."""
        await self._processes[name].kill()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    async def switch(self, url: str, switches: object) -> None:
        """Set the switches of a stand-in."""
        await self.client.post(f"{url}/switches", msgspec.json.encode(switches))

    async def close(self) -> None:
        """End every process."""
        processes = self._processes.values()
        await asyncio.gather(*(process.kill() for process in processes))
        self.client.close()
        self._folder.cleanup()

    async def _start_platform(self) -> None:
        port = self.plan.platform_port
        arguments = ("--port", str(port))
        process = self._add("platform", "kingcuphead.standins.platform", arguments)
        await process.start(LOOPBACK, port)

    def _add(self, name: str, module: str, arguments: tuple[str, ...]) -> LocalProcess:
        folder = Path(self._folder.name)
        process = LocalProcess(name, module, arguments, folder)
        self._processes[name] = process
        return process

    def _describe(self, name: str) -> Instance:
        """Return an instance as the platform lists it."""
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
