"""Checks that stay in force in production."""

from typing import TypeVar

T = TypeVar("T")


def ensure(holds: bool, invariant: str, **data: object) -> None:
    """Raise AssertionError with `data` if an invariant does not hold."""
    if not holds:
        details = ", ".join(f"{name}={value!r}" for name, value in data.items())
        raise AssertionError(f"{invariant} ({details})")


def require(value: T | None, invariant: str) -> T:
    """Return `value`, which an invariant says is present."""
    if value is None:
        raise AssertionError(invariant)
    return value
