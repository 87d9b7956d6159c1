"""The error for a state that must be impossible, and the checks that raise it."""

from typing import TypeVar

T = TypeVar("T")


class InvariantError(AssertionError):
    """A state that the design rules out was reached.

    Parameters
    ----------
    rule : str
        The invariant that was broken.
    **facts : object
        The values that broke it.
    """

    def __init__(self, rule: str, **facts: object) -> None:
        #: The invariant that was broken.
        self.rule = rule
        #: The values that broke it.
        self.facts = facts
        super().__init__(rule, facts)

    def __str__(self) -> str:
        """Return the rule and the values that broke it."""
        values = ", ".join(f"{name}={value!r}" for name, value in self.facts.items())
        return f"{self.rule}: {values}" if values else self.rule


def ensure(holds: bool, rule: str, **facts: object) -> None:
    """Raise `InvariantError` unless the rule holds; stays active under `-O`."""
    if not holds:
        raise InvariantError(rule, **facts)


def require(value: T | None, rule: str) -> T:
    """Return a value that an invariant says is present.

    Raises
    ------
    InvariantError
        The value is None.
    """
    if value is None:
        raise InvariantError(rule)
    return value
