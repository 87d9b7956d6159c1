"""Invariant checks and the exception that they raise."""

from typing import TypeVar

T = TypeVar("T")


class InvariantError(AssertionError):
    """Raised when an invariant is violated.

    Parameters
    ----------
    rule : str
        The invariant that is violated.
    **facts : object
        The values that violate it, by name.
    """

    def __init__(self, rule: str, **facts: object) -> None:
        #: The invariant that is violated.
        self.rule = rule
        #: The values that violate it, by name.
        self.facts = facts
        super().__init__(rule, facts)

    def __str__(self) -> str:
        """Return the rule and the values that violate it."""
        values = ", ".join(f"{name}={value!r}" for name, value in self.facts.items())
        return f"{self.rule}: {values}" if values else self.rule


def ensure(holds: bool, rule: str, **facts: object) -> None:
    """Raise `InvariantError` unless the rule holds, also under `python -O`."""
    if not holds:
        raise InvariantError(rule, **facts)


def require(value: T | None, rule: str) -> T:
    """Return a value, which must not be None.

    Raises
    ------
    InvariantError
        The value is None.
    """
    if value is None:
        raise InvariantError(rule)
    return value
