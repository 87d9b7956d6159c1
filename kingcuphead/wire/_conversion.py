"""Conversion between frozen data classes and generated Thrift structs.

A data class and its struct have the same name and the same field names. The codec of
a type is built from its type hints and cached.
"""

import dataclasses
import enum
import functools
import re
import types
import typing
from collections.abc import Callable, Iterator
from typing import Any

from kingcuphead.frozen import frozen

Converter = Callable[[Any], Any]


@frozen
class Codec:
    """Pair of converters for one type."""

    #: Converts a data class value to its Thrift form.
    encode: Converter
    #: Converts a Thrift value to its data class form.
    decode: Converter
    #: Whether None is a valid value.
    optional: bool = False


class MissingFieldError(ValueError):
    """A received struct lacks a field that has no default in its data class."""

    def __init__(self, struct: str, field: str) -> None:
        super().__init__(f"required field {field} of {struct} is missing")
        #: Name of the Thrift struct.
        self.struct = struct
        #: Name of the missing field.
        self.field = field


class UnsupportedTypeError(TypeError):
    """A message field has a type that the wire format does not support."""

    def __init__(self, hint: object) -> None:
        super().__init__(f"the wire format does not support the type {hint!r}")
        #: The unsupported type hint.
        self.hint = hint


def identity(value: Any) -> Any:
    """Return the value unchanged: its Thrift form is identical."""
    return value


def name_field(cls: type[Any]) -> str:
    """Return the union field of a message class: the class name in snake case."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", cls.__name__).lower()


@functools.cache
def find_codec(hint: Any, structs: types.ModuleType) -> Codec:
    """Return the codec for a type hint.

    Parameters
    ----------
    hint
        A data class, or the type of one of its fields.
    structs
        Generated module that contains the structs.

    Raises
    ------
    UnsupportedTypeError
        The type is not supported, or is a data class without a Thrift struct.
    """
    if hint in (int, str, bool, bytes, float):
        return Codec(identity, identity)
    if isinstance(hint, types.UnionType):
        return _find_optional_codec(hint, structs)
    if typing.get_origin(hint) is tuple:
        return _find_tuple_codec(hint, structs)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return Codec(lambda value: value.value, hint)
    if dataclasses.is_dataclass(hint):
        return _find_struct_codec(hint, structs)
    raise UnsupportedTypeError(hint)


def _find_optional_codec(hint: types.UnionType, structs: types.ModuleType) -> Codec:
    members = [member for member in typing.get_args(hint) if member is not type(None)]
    if len(members) != 1:
        raise UnsupportedTypeError(hint)
    inner = find_codec(members[0], structs)
    return Codec(
        lambda value: None if value is None else inner.encode(value),
        lambda value: None if value is None else inner.decode(value),
        optional=True,
    )


def _find_tuple_codec(hint: Any, structs: types.ModuleType) -> Codec:
    arguments = typing.get_args(hint)
    if len(arguments) != 2 or arguments[1] is not Ellipsis:
        raise UnsupportedTypeError(hint)
    inner = find_codec(arguments[0], structs)
    return Codec(
        lambda values: [inner.encode(value) for value in values],
        lambda values: tuple(inner.decode(value) for value in values or ()),
    )


def _find_struct_codec(cls: Any, structs: types.ModuleType) -> Codec:
    struct = getattr(structs, cls.__name__, None)
    if struct is None:
        raise UnsupportedTypeError(cls)
    hints = typing.get_type_hints(cls)
    codecs = {
        field.name: find_codec(hints[field.name], structs)
        for field in dataclasses.fields(cls)
    }

    required = frozenset(
        field.name
        for field in dataclasses.fields(cls)
        if field.default is dataclasses.MISSING
    )

    def encode(value: Any) -> Any:
        return struct(
            **{
                name: codec.encode(getattr(value, name))
                for name, codec in codecs.items()
            }
        )

    def decode(value: Any) -> Any:
        return cls(**dict(_decode_fields(value, codecs, required)))

    return Codec(encode, decode)


def _decode_fields(
    struct: Any, codecs: dict[str, Codec], required: frozenset[str]
) -> Iterator[tuple[str, Any]]:
    """Yield the decoded fields; peers of an older release omit newer fields."""
    for name, codec in codecs.items():
        value = getattr(struct, name)
        if value is not None:
            yield name, codec.decode(value)
        elif codec.optional:
            yield name, None
        elif name in required:
            raise MissingFieldError(type(struct).__name__, name)
