"""Conversion between frozen data classes and generated thrift structs.

A data class and its struct share the name and the names of their fields. The pairs
of converters for a class are built once, from its type hints.
"""

import dataclasses
import enum
import functools
import types
import typing
from collections.abc import Callable, Iterator
from typing import Any

from kingcuphead.wire.generated import ttypes

Converter = Callable[[Any], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Codec:
    """The two directions of the conversion of one type."""

    #: From the product's type to thrift's.
    encode: Converter
    #: From thrift's type to the product's.
    decode: Converter
    #: Whether the field may be empty.
    optional: bool = False


class MissingFieldError(ValueError):
    """A struct lacks a field that its data class needs."""

    def __init__(self, struct: str, field: str) -> None:
        super().__init__(f"{struct} has no {field}")
        #: Name of the struct.
        self.struct = struct
        #: Name of the field.
        self.field = field


class UnsupportedTypeError(TypeError):
    """A message field has a type that the wire format does not carry."""

    def __init__(self, hint: object) -> None:
        super().__init__(f"the wire format has no form for {hint!r}")
        #: The type hint.
        self.hint = hint


def keep(value: Any) -> Any:
    """Return a value that both sides write alike."""
    return value


@functools.cache
def find_codec(hint: Any) -> Codec:
    """Return the converters for a type hint.

    Raises
    ------
    UnsupportedTypeError
        The hint is none of the types that messages use.
    """
    if hint in (int, str, bool, bytes, float):
        return Codec(keep, keep)
    if isinstance(hint, types.UnionType):
        return _find_optional_codec(hint)
    if typing.get_origin(hint) is tuple:
        return _find_tuple_codec(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return Codec(lambda value: value.value, hint)
    if dataclasses.is_dataclass(hint):
        return _find_struct_codec(hint)
    raise UnsupportedTypeError(hint)


def _find_optional_codec(hint: types.UnionType) -> Codec:
    members = [member for member in typing.get_args(hint) if member is not type(None)]
    if len(members) != 1:
        raise UnsupportedTypeError(hint)
    inner = find_codec(members[0])
    return Codec(
        lambda value: None if value is None else inner.encode(value),
        lambda value: None if value is None else inner.decode(value),
        optional=True,
    )


def _find_tuple_codec(hint: Any) -> Codec:
    arguments = typing.get_args(hint)
    if len(arguments) != 2 or arguments[1] is not Ellipsis:
        raise UnsupportedTypeError(hint)
    inner = find_codec(arguments[0])
    return Codec(
        lambda values: [inner.encode(value) for value in values],
        lambda values: tuple(inner.decode(value) for value in values or ()),
    )


def _find_struct_codec(cls: Any) -> Codec:
    struct = getattr(ttypes, cls.__name__, None)
    if struct is None:
        raise UnsupportedTypeError(cls)
    hints = typing.get_type_hints(cls)
    codecs = {
        field.name: find_codec(hints[field.name]) for field in dataclasses.fields(cls)
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
    """Yield the fields that are there; a peer of an older release leaves some out."""
    for name, codec in codecs.items():
        value = getattr(struct, name)
        if value is not None:
            yield name, codec.decode(value)
        elif codec.optional:
            yield name, None
        elif name in required:
            raise MissingFieldError(type(struct).__name__, name)
