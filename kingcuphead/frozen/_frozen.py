"""The decorator `frozen`, in place of `dataclasses.dataclass(frozen=True, slots=True)`.

`dataclasses` compiles six functions for each frozen class, which takes a fifth of the
processor time of a daemon's start. Here only `__init__` is compiled; classes share the
others.
"""

import dataclasses
import operator
from collections.abc import Callable
from typing import Any, NoReturn, TypeVar, dataclass_transform

T = TypeVar("T")


@dataclass_transform(frozen_default=True, field_specifiers=(dataclasses.field,))
def frozen(cls: type[T]) -> type[T]:
    """Make a class a frozen data class with slots.

    The class behaves as with `dataclasses.dataclass(frozen=True, slots=True)`, and the
    functions of `dataclasses` accept it. Keyword-only fields, `InitVar`,
    `__post_init__` and base classes with fields aren't supported.
    """
    # Without a doc comment, `dataclasses` would inspect the signature to make one.
    cls.__doc__ = cls.__doc__ or cls.__name__
    made: Any = dataclasses.dataclass(init=False, repr=False, eq=False, slots=True)(cls)
    fields = dataclasses.fields(made)
    read_fields = _make_reader(tuple(field.name for field in fields))

    def are_equal(self: Any, other: object) -> Any:
        if other.__class__ is not self.__class__:
            return NotImplemented
        return read_fields(self) == read_fields(other)

    made.__init__ = _make_init(made, fields)
    made.__eq__ = are_equal
    made.__hash__ = lambda self: hash(read_fields(self))
    made.__setattr__ = _refuse_assignment
    made.__delattr__ = _refuse_deletion
    made.__getstate__ = lambda self: read_fields(self)
    made.__setstate__ = _set_state
    if "__repr__" not in cls.__dict__:
        made.__repr__ = _format
    result: type[T] = made
    return result


def _make_reader(names: tuple[str, ...]) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that returns the values of all fields."""
    match names:
        case ():
            return lambda value: ()
        case (name,):
            return lambda value: (getattr(value, name),)
        case _:
            return operator.attrgetter(*names)


def _make_init(cls: Any, fields: tuple[dataclasses.Field[Any], ...]) -> Any:
    """Compile an initialiser that assigns the fields in spite of `__setattr__`."""
    names: dict[str, Any] = {
        "_set": object.__setattr__,
        "_MISSING": dataclasses.MISSING,
    }
    parameters, lines = ["self"], []
    for field in fields:
        name, default = field.name, f"_default_{field.name}"
        value = name
        if field.default_factory is not dataclasses.MISSING:
            names[default] = field.default_factory
            parameters.append(f"{name}=_MISSING")
            value = f"{default}() if {name} is _MISSING else {name}"
        elif field.default is not dataclasses.MISSING:
            names[default] = field.default
            parameters.append(f"{name}={default}")
        else:
            parameters.append(name)
        lines.append(f"    _set(self, {name!r}, {value})")
    body = "\n".join(lines or ["    pass"])
    exec(f"def __init__({', '.join(parameters)}):\n{body}", names)
    names["__init__"].__qualname__ = f"{cls.__qualname__}.__init__"
    return names["__init__"]


def _format(self: Any) -> str:
    fields = (f"{name}={getattr(self, name)!r}" for name in self.__match_args__)
    return f"{type(self).__qualname__}({', '.join(fields)})"


def _refuse_assignment(self: Any, name: str, value: object) -> NoReturn:
    raise dataclasses.FrozenInstanceError(f"cannot assign to field {name!r}")


def _refuse_deletion(self: Any, name: str) -> NoReturn:
    raise dataclasses.FrozenInstanceError(f"cannot delete field {name!r}")


def _set_state(self: Any, state: tuple[Any, ...]) -> None:
    for name, value in zip(self.__match_args__, state, strict=True):
        object.__setattr__(self, name, value)
