"""Orders to an engine, protected by fencing numbers."""

from typing import TypeAlias

import msgspec
from expression import Error, Ok, Result


class LoadModel(msgspec.Struct, frozen=True, tag="load_model"):
    """Load a version of a model; it replaces the version served so far."""

    #: Name of the model.
    model: str
    #: Version to serve.
    version: str


class LoadAdapter(msgspec.Struct, frozen=True, tag="load_adapter"):
    """Load an adapter of a loaded model."""

    #: Name of the adapter, which callers send as the model.
    adapter: str
    #: Version to serve.
    version: str


class Unload(msgspec.Struct, frozen=True, tag="unload"):
    """Unload a model or an adapter."""

    #: Name of the model or adapter.
    model: str


class ChangeRole(msgspec.Struct, frozen=True, tag="change_role"):
    """Change the role of the engine, for example to prefill only."""

    #: Name of the new role.
    role: str


Command: TypeAlias = LoadModel | LoadAdapter | Unload | ChangeRole


class Order(msgspec.Struct, frozen=True):
    """A command with the fencing number that authorises it."""

    #: Fencing number of the sender; a sender that is authorised later has a higher one.
    fencing: int
    #: Command to execute.
    command: Command


class AppliedOrder(msgspec.Struct, frozen=True):
    """An order that was applied."""

    #: The order as received.
    order: Order
    #: Whether its fencing number was lower than that of an earlier applied order.
    was_stale: bool


class StaleOrder(msgspec.Struct, frozen=True):
    """An order was refused because its fencing number is stale."""

    #: Fencing number of the refused order.
    fencing: int
    #: Highest fencing number of an applied order.
    highest: int

    @property
    def message(self) -> str:
        """Error message for the sender."""
        return f"fencing number {self.fencing} is older than {self.highest}"


class Assignment:
    """Models and role assigned to one engine.

    Parameters
    ----------
    models : dict of str to str
        Versions of the models served at start, by name of model.
    checks_fencing : bool
        Whether orders with stale fencing numbers are refused.
    """

    def __init__(self, models: dict[str, str], checks_fencing: bool) -> None:
        self._models = dict(models)
        self._checks_fencing = checks_fencing
        self._highest = 0
        self._role = "general"
        self._applied: list[AppliedOrder] = []

    @property
    def models(self) -> dict[str, str]:
        """Versions of the served models and adapters, by name."""
        return dict(self._models)

    @property
    def role(self) -> str:
        """Current role."""
        return self._role

    @property
    def applied(self) -> tuple[AppliedOrder, ...]:
        """Applied orders, oldest first."""
        return tuple(self._applied)

    def apply(self, order: Order) -> Result[AppliedOrder, StaleOrder]:
        """Apply an order, or refuse it if its fencing number is stale."""
        is_stale = order.fencing < self._highest
        if is_stale and self._checks_fencing:
            return Error(StaleOrder(order.fencing, self._highest))
        self._highest = max(self._highest, order.fencing)
        self._execute(order.command)
        applied = AppliedOrder(order, is_stale)
        self._applied.append(applied)
        return Ok(applied)

    def _execute(self, command: Command) -> None:
        match command:
            case LoadModel(name, version) | LoadAdapter(name, version):
                self._models[name] = version
            case Unload(name):
                self._models.pop(name, None)
            case ChangeRole(role):
                self._role = role
