"""Consistency checks across the records of a configuration."""

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
    """Return a fault for each unresolved or invalid reference and each shared key.

    A reference from a target to a plain service is invalid if the target lists
    models. A bearer key may belong to one organisation only.
    """
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
    for kind, names, existing in references:
        for name in names:
            if name not in existing:
                yield _make_fault(organisation, f"{kind} {name!r} does not exist")


def _check_targets(configuration: Configuration) -> Iterator[RecordFault]:
    for target in configuration.targets.values():
        service = configuration.services.get(target.service)
        yield from _check_target_service(target, service)
        for model in target.models:
            if model not in configuration.models:
                yield _make_fault(target, f"model {model!r} does not exist")


def _check_target_service(
    target: Target, service: Service | None
) -> Iterator[RecordFault]:
    if service is None:
        yield _make_fault(target, f"service {target.service!r} does not exist")
    elif service.kind is ServiceKind.PLAIN and target.models:
        yield _make_fault(target, f"plain service {service.name!r} serves no models")


def _check_keys(organisations: Iterable[Organisation]) -> Iterator[RecordFault]:
    owners: dict[str, str] = {}
    for organisation in organisations:
        for digest in organisation.key_digests:
            owner = owners.setdefault(digest, organisation.name)
            if owner != organisation.name:
                problem = f"shares key {digest[:12]}... with organisation {owner!r}"
                yield _make_fault(organisation, problem)


def _make_fault(record: Organisation | Target, problem: str) -> RecordFault:
    kind = "organisation" if isinstance(record, Organisation) else "target"
    return RecordFault(kind, record.name, problem)
