"""Check that the records of a configuration fit each other."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from kingcuphead.records._faults import RecordFault
from kingcuphead.records._model import (
    Configuration,
    Organisation,
    Service,
    ServiceKind,
    Target,
)


def check_configuration(configuration: Configuration) -> tuple[RecordFault, ...]:
    """Return every reference that leads nowhere and every key that is shared."""
    return (
        *_check_organisations(configuration),
        *_check_targets(configuration),
        *_check_keys(configuration.organisations.values()),
    )


def _check_organisations(configuration: Configuration) -> Iterator[RecordFault]:
    for organisation in configuration.organisations.values():
        yield from _check_references(configuration, organisation)


def _check_references(
    configuration: Configuration, organisation: Organisation
) -> Iterator[RecordFault]:
    references: tuple[tuple[str, Iterable[str], Mapping[str, Any]], ...] = (
        ("budget", (organisation.budget,), configuration.budgets),
        ("model", organisation.models, configuration.models),
        ("service", organisation.services, configuration.services),
        ("class", organisation.classes, configuration.classes),
    )
    for kind, names, known in references:
        for name in names:
            if name not in known:
                yield _refuse(organisation, f"{kind} {name!r} does not exist")


def _check_targets(configuration: Configuration) -> Iterator[RecordFault]:
    for target in configuration.targets.values():
        service = configuration.services.get(target.service)
        yield from _check_target_service(target, service)
        for model in target.models:
            if model not in configuration.models:
                yield _refuse(target, f"model {model!r} does not exist")


def _check_target_service(
    target: Target, service: Service | None
) -> Iterator[RecordFault]:
    if service is None:
        yield _refuse(target, f"service {target.service!r} does not exist")
    elif service.kind is ServiceKind.PLAIN and target.models:
        yield _refuse(target, f"plain service {service.name!r} serves no models")


def _check_keys(organisations: Iterable[Organisation]) -> Iterator[RecordFault]:
    owners: dict[str, str] = {}
    for organisation in organisations:
        for digest in organisation.key_digests:
            owner = owners.setdefault(digest, organisation.name)
            if owner != organisation.name:
                problem = f"shares key {digest[:12]}... with organisation {owner!r}"
                yield _refuse(organisation, problem)


def _refuse(record: Organisation | Target, problem: str) -> RecordFault:
    kind = "organisation" if isinstance(record, Organisation) else "target"
    return RecordFault(kind, record.name, problem)
