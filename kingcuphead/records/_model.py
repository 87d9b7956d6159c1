"""Data model of the configuration, independent of schema versions."""

import dataclasses
import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

EMPTY_MAPPING: Mapping[str, Any] = MappingProxyType({})


def _make_mapping_field() -> Any:
    # dataclasses reject an unhashable default value such as a mapping.
    return dataclasses.field(default_factory=lambda: EMPTY_MAPPING)


class ServiceKind(enum.StrEnum):
    """Protocol that the targets of a service implement."""

    ENGINE = "engine"
    PLAIN = "plain"


class BudgetPolicy(enum.StrEnum):
    """Trade-off between exact spending and availability as a budget runs out."""

    #: Small grants and early recall, which minimise unattributed credit.
    STRICT = "strict"
    #: Larger reserves, kept longer during a partition, which minimise refusals of
    #: requests that the budget would still cover.
    AVAILABLE = "available"


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose callers share keys, a budget and a set of models."""

    #: Name, unique among organisations.
    name: str
    #: SHA-256 digests of the bearer keys, in hexadecimal.
    key_digests: tuple[str, ...]
    #: Name of the budget that its requests are charged to.
    budget: str
    #: Names of the models that its callers may use.
    models: tuple[str, ...]
    #: Names of the plain services that its callers may use.
    services: tuple[str, ...] = ()
    #: Names of the work classes that its callers may request; the first is the
    #: default.
    classes: tuple[str, ...] = ("default",)
    #: Weight of its share of a target relative to organisations of the same class.
    weight: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Policy of a prepaid budget; package `budgets` stores its balance."""

    #: Name, unique among budgets.
    name: str
    #: Whether exact spending or availability takes precedence.
    policy: BudgetPolicy = BudgetPolicy.STRICT


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of requests that queue together, with a common priority and share."""

    #: Name, unique among work classes.
    name: str
    #: Priority; 0 is the highest.
    rank: int
    #: Seconds to the first token after which an answer is of no use to the caller.
    deadline: float
    #: Seconds in the queue after which a request moves up by one rank.
    ageing: float = 30.0
    #: Maximum share of the targets' slots, greater than 0 and at most 1.
    share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that callers can request."""

    #: Name in the callers' API, unique among models.
    name: str
    #: Versions in force; each target announces the versions that it serves.
    versions: tuple[str, ...]
    #: Maximum of `max_tokens` in a request, and its default.
    max_output_tokens: int
    #: Maximum number of tokens that the chat template adds per message.
    template_tokens: int = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable targets."""

    #: Name, unique among services, also the NAME in `/services/NAME/`.
    name: str
    #: Whether the targets are model engines or plain HTTP servers.
    kind: ServiceKind
    #: Whether the targets reject orders with an outdated fencing number.
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A model engine or an instance of a plain service."""

    #: Name, unique among targets and equal to its name in the platform's instance
    #: list.
    name: str
    #: Name of the service that it belongs to.
    service: str
    #: IPv4 address and port, as `ADDRESS:PORT`.
    address: str
    #: Name of its availability zone.
    zone: str
    #: Names of the models that it serves; empty for plain services.
    models: tuple[str, ...] = ()
    #: Maximum number of concurrent requests.
    concurrency: int = 8
    #: Whether an operator is draining it, so that it gets no new requests.
    draining: bool = False


Record: TypeAlias = Organisation | Budget | WorkClass | Model | Service | Target


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Every record of one revision."""

    #: Revision of the head row. A daemon replaces its configuration only by one of
    #: a higher revision.
    revision: int = 0
    #: Organisations by name.
    organisations: Mapping[str, Organisation] = _make_mapping_field()
    #: Budgets by name.
    budgets: Mapping[str, Budget] = _make_mapping_field()
    #: Work classes by name.
    classes: Mapping[str, WorkClass] = _make_mapping_field()
    #: Models by name.
    models: Mapping[str, Model] = _make_mapping_field()
    #: Services by name.
    services: Mapping[str, Service] = _make_mapping_field()
    #: Targets by name.
    targets: Mapping[str, Target] = _make_mapping_field()

    def with_changes(self, **changes: Any) -> "Configuration":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)
