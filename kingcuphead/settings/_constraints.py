"""Descriptions in English of the values that a key accepts, from its type hint."""

import enum
from typing import Annotated, Any, get_args, get_origin

import msgspec

NUMBER_NAMES = {int: "an integer", float: "a number"}


def describe_constraint(hint: Any) -> str:
    """Return the text for `KeyFault.allowed`: the values that a type hint accepts."""
    if get_origin(hint) is Annotated:
        base, *bounds = get_args(hint)
        return _describe_bounds(base, bounds)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return " or ".join(str(member.value) for member in hint)
    return NUMBER_NAMES.get(hint, "text")


def is_tuple(hint: Any) -> bool:
    """Return whether a key accepts several values, separated by spaces."""
    base = get_args(hint)[0] if get_origin(hint) is Annotated else hint
    return get_origin(base) is tuple


def _describe_bounds(base: Any, bounds: list[Any]) -> str:
    meta = next(bound for bound in bounds if isinstance(bound, msgspec.Meta))
    if meta.description:
        return meta.description
    return f"{NUMBER_NAMES[base]} from {meta.ge} to {meta.le}"
