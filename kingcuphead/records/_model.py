"""The configuration as the daemon uses it, independent of record schemas."""

import dataclasses
import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

EMPTY: Mapping[str, Any] = MappingProxyType({})


def _records() -> Any:
    # A data class refuses the unhashable mapping itself as a default.
    return dataclasses.field(default_factory=lambda: EMPTY)


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class BudgetPolicy(enum.StrEnum):
    """Which error an organisation weighs more heavily near the end of a budget."""

    #: Small grants and early recall: the least credit is left unattributed.
    STRICT = "strict"
    #: Larger reserves, kept longer through a partition: the fewest false refusals.
    AVAILABLE = "available"


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer whose callers share keys, a budget and a set of models."""

    #: Unique name.
    name: str
    #: SHA-256 digests of the bearer keys, in hexadecimal.
    key_digests: tuple[str, ...]
    #: Name of the budget that pays.
    budget: str
    #: Models that its callers may use.
    models: tuple[str, ...]
    #: Plain services that its callers may use.
    services: tuple[str, ...] = ()
    #: Work classes that its callers may ask for; the first is the default.
    classes: tuple[str, ...] = ("default",)
    #: Share of a target relative to other organisations in the same class.
    weight: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Policy of a prepaid budget; the money itself is kept by `budgets`."""

    #: Unique name.
    name: str
    #: Which error is weighed more heavily.
    policy: BudgetPolicy = BudgetPolicy.STRICT


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of requests that queue together."""

    #: Unique name.
    name: str
    #: Priority; 0 goes first.
    rank: int
    #: Seconds to the first token after which an answer is of no use.
    deadline: float
    #: Seconds of waiting that raise a request by one rank.
    ageing: float = 30.0
    #: Share of the targets' slots that the class may occupy, from 0 to 1.
    share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that callers can name."""

    #: Name in the callers' API.
    name: str
    #: Versions in force; targets announce which ones they serve.
    versions: tuple[str, ...]
    #: Largest `max_tokens`, also the default where a caller names none.
    max_output_tokens: int
    #: Tokens that the chat template may add for each message.
    template_tokens: int = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of targets that do the same work."""

    #: Unique name, also the NAME in `/services/NAME/`.
    name: str
    #: Model engines or plain HTTP.
    kind: ServiceKind
    #: Whether the targets refuse an order with an old fencing number.
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A model engine or an instance of a plain service."""

    #: Unique name, equal to its name in the platform's instance list.
    name: str
    #: Service that it belongs to.
    service: str
    #: IP number and port.
    address: str
    #: Availability zone.
    zone: str
    #: Models that it serves; empty for plain services.
    models: tuple[str, ...] = ()
    #: Most requests that it runs at once.
    concurrency: int = 8
    #: Whether an operator has asked it to take nothing new.
    draining: bool = False


Record: TypeAlias = Organisation | Budget | WorkClass | Model | Service | Target


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Every record in force at one revision."""

    #: Revision of the head row; a higher one replaces a lower one, never back.
    revision: int = 0
    #: Organisations by name.
    organisations: Mapping[str, Organisation] = _records()
    #: Budgets by name.
    budgets: Mapping[str, Budget] = _records()
    #: Work classes by name.
    classes: Mapping[str, WorkClass] = _records()
    #: Models by name.
    models: Mapping[str, Model] = _records()
    #: Services by name.
    services: Mapping[str, Service] = _records()
    #: Targets by name.
    targets: Mapping[str, Target] = _records()

    def with_changes(self, **changes: Any) -> "Configuration":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)
