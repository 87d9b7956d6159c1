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
from collections.abc import Callable
from typing import Any

from kingcuphead.frozen import frozen

Converter = Callable[[Any], Any]


@frozen
class Codec:
    """Pair of converters for one type."""

    #: Converts a data class value to its Thrift form, which may be the value itself: a
    #: field of a struct, but not a struct to be written alone (see `make_struct`).
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


def _get_value(value: enum.Enum) -> Any:
    return value.value


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
        return Codec(_get_value, hint)
    if dataclasses.is_dataclass(hint):
        return _find_struct_codec(hint, structs)
    raise UnsupportedTypeError(hint)


def _find_optional_codec(hint: types.UnionType, structs: types.ModuleType) -> Codec:
    members = [member for member in typing.get_args(hint) if member is not type(None)]
    if len(members) != 1:
        raise UnsupportedTypeError(hint)
    inner = find_codec(members[0], structs)
    return Codec(_skip_none(inner.encode), _skip_none(inner.decode), optional=True)


def _skip_none(convert: Converter) -> Converter:
    """Return a converter that leaves None unchanged."""
    if convert is identity:
        return identity
    return lambda value: None if value is None else convert(value)


def _find_tuple_codec(hint: Any, structs: types.ModuleType) -> Codec:
    arguments = typing.get_args(hint)
    if len(arguments) != 2 or arguments[1] is not Ellipsis:
        raise UnsupportedTypeError(hint)
    inner = find_codec(arguments[0], structs)
    encode, decode = inner.encode, inner.decode
    return Codec(
        identity if encode is identity else lambda values: [encode(v) for v in values],
        tuple if decode is identity else lambda values: tuple(map(decode, values)),
    )


def make_struct(message: Any, structs: types.ModuleType) -> Any:
    """Return the struct of a message that is encoded alone, not as a field.

    Parameters
    ----------
    message
        Instance of a frozen data class.
    structs
        Generated module that contains the struct of the same name.
    """
    cls: Any = type(message)
    return _make_struct(message, _find_struct(cls, structs), _list_codecs(cls, structs))


def _find_struct(cls: Any, structs: types.ModuleType) -> Any:
    struct = getattr(structs, cls.__name__, None)
    if struct is None:
        raise UnsupportedTypeError(cls)
    return struct


@functools.cache
def _list_codecs(cls: Any, structs: types.ModuleType) -> dict[str, Codec]:
    hints = typing.get_type_hints(cls)
    return {
        field.name: find_codec(hints[field.name], structs)
        for field in dataclasses.fields(cls)
    }


def _find_struct_codec(cls: Any, structs: types.ModuleType) -> Codec:
    struct = _find_struct(cls, structs)
    codecs = _list_codecs(cls, structs)
    return Codec(_make_encoder(struct, codecs), _make_decoder(cls, codecs))


def _make_encoder(struct: Any, codecs: dict[str, Codec]) -> Converter:
    """Return a function that turns a data class value into a struct.

    Thrift's encoder reads attributes of any object, so a data class whose fields have
    their Thrift form is encoded as it is.
    """
    if all(codec.encode is identity for codec in codecs.values()):
        return identity

    return lambda value: _make_struct(value, struct, codecs)


def _make_struct(value: Any, struct: Any, codecs: dict[str, Codec]) -> Any:
    return struct(
        **{name: codec.encode(getattr(value, name)) for name, codec in codecs.items()}
    )


def _make_decoder(cls: Any, codecs: dict[str, Codec]) -> Converter:
    """Return a function that turns a struct into a data class value.

    Peers of an older release omit newer fields, which get their defaults. The function
    is compiled without loops, because most datagrams pass through it.
    """
    names: dict[str, Any] = {"_cls": cls, "_Missing": MissingFieldError}
    lines = ["def decode(_struct):"]
    for field in dataclasses.fields(cls):
        name, codec = field.name, codecs[field.name]
        lines.append(f"    {name} = _struct.{name}")
        is_converted = codec.decode is not identity
        if is_converted:
            names[f"_decode_{name}"] = codec.decode
            lines.append(f"    if {name} is not None:")
            lines.append(f"        {name} = _decode_{name}({name})")
        if codec.optional:
            continue
        lines.append(f"    {'elif' if is_converted else 'if'} {name} is None:")
        if field.default is dataclasses.MISSING:
            lines.append(f"        raise _Missing({cls.__name__!r}, {name!r})")
        else:
            names[f"_default_{name}"] = field.default
            lines.append(f"        {name} = _default_{name}")
    lines.append(f"    return _cls({', '.join(codecs)})")
    exec("\n".join(lines), names)
    decode: Converter = names["decode"]
    return decode
