"""Orders to an engine, guarded by fencing numbers."""

from typing import TypeAlias

import msgspec
from expression import Error, Ok, Result


class LoadModel(msgspec.Struct, frozen=True, tag="load_model"):
    """Serve a model in a version, in place of an earlier version."""

    #: Name of the model.
    model: str
    #: Version to serve.
    version: str


class LoadAdapter(msgspec.Struct, frozen=True, tag="load_adapter"):
    """Serve an adapter of a model that is loaded."""

    #: Name under which callers ask for it.
    adapter: str
    #: Version to serve.
    version: str


class Unload(msgspec.Struct, frozen=True, tag="unload"):
    """Stop serving a model or an adapter."""

    #: Name of the model or adapter.
    model: str


class ChangeRole(msgspec.Struct, frozen=True, tag="change_role"):
    """Take another role, for example prefill only."""

    #: Name of the role.
    role: str


Command: TypeAlias = LoadModel | LoadAdapter | Unload | ChangeRole


class Order(msgspec.Struct, frozen=True):
    """A command and the right to give it."""

    #: Fencing number of the sender; a later holder of the right has a higher one.
    fencing: int
    #: What to do.
    command: Command


class AppliedOrder(msgspec.Struct, frozen=True):
    """An order that took effect."""

    #: The order.
    order: Order
    #: Whether its fencing number was lower than one seen before.
    was_stale: bool


class StaleOrder(msgspec.Struct, frozen=True):
    """An order was refused for its old fencing number."""

    #: Number of the order.
    fencing: int
    #: Highest number seen.
    highest: int

    @property
    def message(self) -> str:
        """The sentence for the sender."""
        return f"fencing number {self.fencing} is older than {self.highest}"


class Assignment:
    """The models and the role of one engine.

    Parameters
    ----------
    models : dict of str to str
        Versions by name of model at the start.
    checks_fencing : bool
        Whether orders with old fencing numbers are refused.
    """

    def __init__(self, models: dict[str, str], checks_fencing: bool) -> None:
        self._models = dict(models)
        self._checks_fencing = checks_fencing
        self._highest = 0
        self._role = "general"
        self._applied: list[AppliedOrder] = []

    @property
    def models(self) -> dict[str, str]:
        """Versions by name of model or adapter."""
        return dict(self._models)

    @property
    def role(self) -> str:
        """Role in force."""
        return self._role

    @property
    def applied(self) -> tuple[AppliedOrder, ...]:
        """Orders that took effect."""
        return tuple(self._applied)

    def apply(self, order: Order) -> Result[AppliedOrder, StaleOrder]:
        """Carry out an order, or refuse it if its fencing number is old."""
        is_stale = order.fencing < self._highest
        if is_stale and self._checks_fencing:
            return Error(StaleOrder(order.fencing, self._highest))
        self._highest = max(self._highest, order.fencing)
        self._perform(order.command)
        applied = AppliedOrder(order, is_stale)
        self._applied.append(applied)
        return Ok(applied)

    def _perform(self, command: Command) -> None:
        match command:
            case LoadModel(name, version) | LoadAdapter(name, version):
                self._models[name] = version
            case Unload(name):
                self._models.pop(name, None)
            case ChangeRole(role):
                self._role = role
