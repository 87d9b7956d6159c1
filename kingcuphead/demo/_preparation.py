"""Sets the fleet of the demonstration up, as an operator does it."""

import tempfile
from pathlib import Path

from kingcuphead.localfleet import (
    PLAIN_SERVICE,
    DaemonPlan,
    FleetPlan,
    LocalOrganisation,
    list_records,
    require_command,
)


async def prepare_fleet(
    plan: FleetPlan,
    organisations: tuple[LocalOrganisation, ...],
    max_output_tokens: int,
) -> None:
    """Create everything with the command-line tool, run as a process.

    Parameters
    ----------
    plan
        The fleet; its first daemon carries the commands out.
    organisations
        Who is served.
    max_output_tokens
        Largest `max_tokens` of every model.

    Raises
    ------
    CommandError
        A command failed.
    """
    daemon = plan.daemons[0]
    await _apply_shared_records(daemon, plan, max_output_tokens)
    models = sorted({name for engine in plan.engines for name in engine.models})
    for organisation in organisations:
        await _create_organisation(daemon, organisation, models)


async def _apply_shared_records(
    daemon: DaemonPlan, plan: FleetPlan, max_output_tokens: int
) -> None:
    """Write classes, services, models and targets together."""
    records = list_records(plan, (), max_output_tokens)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "records.json"
        path.write_bytes(b"[" + b",\n".join(records) + b"]\n")
        await require_command(daemon, ("record", "apply", str(path)))


async def _create_organisation(
    daemon: DaemonPlan, organisation: LocalOrganisation, models: list[str]
) -> None:
    name = organisation.name
    budget = ("--policy", organisation.policy, "--limit", str(organisation.limit))
    await require_command(daemon, ("budget", "create", name, *budget))
    reach = {
        "--budget": name,
        "--models": ",".join(models),
        "--services": PLAIN_SERVICE,
        "--classes": ",".join(organisation.classes),
        "--key": organisation.key,
    }
    options = (text for pair in reach.items() for text in pair)
    await require_command(daemon, ("organisation", "create", name, *options))
