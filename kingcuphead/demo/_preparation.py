"""Configures the fleet of the demonstration with the command-line tool."""

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
    """Create the records and budgets of the fleet, as an operator does.

    Parameters
    ----------
    plan
        The fleet; the commands are sent to its first daemon.
    organisations
        Organisations to create, each with its budget.
    max_output_tokens
        Maximum `max_tokens` of each model.

    Raises
    ------
    CommandError
        A command exited with a code other than 0.
    """
    daemon = plan.daemons[0]
    await _apply_shared_records(daemon, plan, max_output_tokens)
    models = sorted({name for engine in plan.engines for name in engine.models})
    for organisation in organisations:
        await _create_organisation(daemon, organisation, models)


async def _apply_shared_records(
    daemon: DaemonPlan, plan: FleetPlan, max_output_tokens: int
) -> None:
    """Write classes, services, models and targets as one change."""
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
    fields = {
        "--budget": name,
        "--models": ",".join(models),
        "--services": PLAIN_SERVICE,
        "--classes": ",".join(organisation.classes),
        "--key": organisation.key,
    }
    options = (text for pair in fields.items() for text in pair)
    await require_command(daemon, ("organisation", "create", name, *options))
