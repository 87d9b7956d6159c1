"""Values of a configuration file that decoding merges, corrects or ignores."""

import difflib
import itertools
import json
import re
from collections.abc import Callable, Iterator, Sequence
from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result

from kingcuphead.decoding import DECODING_ERRORS
from kingcuphead.frozen import frozen
from kingcuphead.platform._configuration import (
    DECODER,
    DEFAULT_COLD_PERIOD,
    KINDS,
    MIN_COLD_LIMIT,
    ROUTE_DECODER,
    TENANT_DECODER,
    ConfigurationForm,
    EngineForm,
    LimitsForm,
    RouteForm,
    ServiceForm,
    SplitForm,
    TenantForm,
)
from kingcuphead.platform._numbers import parse_number

#: Characters of a name or value from the file that a message repeats.
MAX_SHOWN = 100
#: Maximum number of faults, and of unknown fields, that are returned.
MAX_FAULTS = 1_000

#: Objects within the objects of a configuration, by field.
_PARTS: dict[type[msgspec.Struct], dict[str, type[msgspec.Struct]]] = {
    ConfigurationForm: {
        "routes": RouteForm,
        "services": ServiceForm,
        "limits": LimitsForm,
        "tenants": TenantForm,
    },
    RouteForm: {"traffic_split": SplitForm},
    ServiceForm: {"engine": EngineForm},
}
#: Numbers that replace unreadable ones, by field of a service.
_REPLACEMENTS = {"cold_start_s": DEFAULT_COLD_PERIOD, "cold_per_s": MIN_COLD_LIMIT}
#: End of a decoder's message that gives the path of a value of the wrong type.
_PATH = re.compile(r" - at `\$\.?(.*)`\Z", re.DOTALL)
#: End of a decoder's message that gives the position of a syntax error.
_BYTE = re.compile(r" \(byte (\d+)\)\Z")


@frozen
class FileFault:
    """A fault at a place of a configuration file."""

    #: Part of the file, such as `routes[3] "name"`.
    place: str
    #: Description of the fault, in English.
    cause: str


@frozen
class KeyHolder:
    """An organisation as the configuration states it, with its API keys."""

    #: Name of the organisation.
    name: str
    #: Its API keys, which other organisations may hold too by mistake.
    keys: tuple[str, ...]


@frozen
class StatedValues:
    """Values that decoding merges or corrects, in the order of the file."""

    #: Stated maximum number of attempts of each route.
    attempts: tuple[int, ...]
    #: Name of each service.
    services: tuple[str, ...]
    #: Each organisation with its keys.
    holders: tuple[KeyHolder, ...]
    #: Fields that decoding ignores, and values that it replaces.
    ignored: tuple[FileFault, ...]


T = TypeVar("T")
_Decoded = tuple[list[T], list[FileFault]]


def format_place(kind: str, index: int, name: str) -> str:
    """Return the place of a part of the file, such as `routes[3] "name"`."""
    return f"{kind}[{index}] {format_name(name)}"


def decode_stated_values(content: bytes) -> Result[StatedValues, tuple[FileFault, ...]]:
    """Decode the values that `decode_configuration` merges, corrects or ignores.

    Parameters
    ----------
    content
        Configuration as JSON.

    Returns
    -------
    Result[StatedValues, tuple[FileFault, ...]]
        The values, or the faults because of which the file can't be decoded.
    """
    whole = _decode_whole(content)
    if whole.is_error():
        return Error((whole.error,))
    decoded = whole.ok
    routes, faults = _decode_parts("routes", decoded.routes, ROUTE_DECODER.decode)
    tenants, more = _decode_parts("tenants", decoded.tenants, TENANT_DECODER.decode)
    if faults or more:
        return Error((*faults, *more)[:MAX_FAULTS])
    unknown = _find_all_unknown_fields(content)
    ignored = [
        *itertools.islice(unknown, MAX_FAULTS),
        *_find_replaced_values(routes, decoded.services),
    ]
    return Ok(
        StatedValues(
            attempts=tuple(each.max_attempts for each in routes),
            services=tuple(each.name for each in decoded.services),
            holders=tuple(
                KeyHolder(each.name, tuple(each.api_keys)) for each in tenants
            ),
            ignored=tuple(ignored),
        )
    )


def format_name(value: Any) -> str:
    """Return a name or value of the file for a message, quoted and truncated.

    Control characters are escaped, so that a file can't change a terminal.
    """
    match value:
        case str():
            text = json.dumps(value[: MAX_SHOWN + 1], ensure_ascii=False)
        case int() | float():
            text = str(value)
        case _:
            return f"of type {type(value).__name__}"
    if text.isprintable() and len(text) <= MAX_SHOWN:
        return text
    # Also escapes what JSON leaves as it is, such as the C1 control characters.
    shown = "".join(each if each.isprintable() else ascii(each)[1:-1] for each in text)
    return shown if len(shown) <= MAX_SHOWN else f"{shown[:MAX_SHOWN]}..."


def _decode_whole(content: bytes) -> Result[ConfigurationForm, FileFault]:
    try:
        return Ok(DECODER.decode(content))
    except msgspec.ValidationError as error:
        return Error(_locate_type_error("", str(error)))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Error(_locate_syntax_error(content, str(error)))
    except RecursionError:
        return Error(FileFault("file", "nested too deeply"))


def _decode_parts(
    kind: str, contents: Sequence[msgspec.Raw], decode: Callable[[msgspec.Raw], T]
) -> _Decoded[T]:
    parts: list[T] = []
    faults: list[FileFault] = []
    for index, content in enumerate(contents):
        try:
            parts.append(decode(content))
        except DECODING_ERRORS as error:
            faults.append(_locate_type_error(f"{kind}[{index}]", str(error)))
    return parts, faults


def _locate_type_error(part: str, message: str) -> FileFault:
    found = _PATH.search(message)
    cause = message[: found.start()] if found else message
    path = found[1] if found else ""
    is_step = bool(part and path) and not path.startswith("[")
    return FileFault(f"{part}{'.' if is_step else ''}{path}" or "file", cause)


def _locate_syntax_error(content: bytes, message: str) -> FileFault:
    found = _BYTE.search(message)
    if not content.strip():
        return FileFault("file", "the file is empty")
    if found is None and "truncated" not in message:
        return FileFault("file", message)
    # If the file was cut off, the position is its end.
    position = int(found[1]) if found else len(content)
    before = content[:position]
    line = before.count(b"\n") + 1
    column = position - (before.rfind(b"\n") + 1) + 1
    cause = message[: found.start()] if found else "the file is cut off"
    return FileFault(f"line {line}, column {column}", cause)


def _find_all_unknown_fields(content: bytes) -> Iterator[FileFault]:
    try:
        document = msgspec.json.decode(content)
    except DECODING_ERRORS as error:
        # The known fields were decoded, so the value is one that daemons ignore.
        cause = _PATH.sub("", str(error))
        yield FileFault(
            "file", f"a value of an unknown field can't be decoded: {cause}"
        )
        return
    yield from _find_unknown_fields("", document, ConfigurationForm)


def _find_unknown_fields(
    place: str, value: Any, form: type[msgspec.Struct]
) -> Iterator[FileFault]:
    if not isinstance(value, dict):
        return
    known = form.__struct_fields__
    for field in sorted(value.keys() - known):
        near = difflib.get_close_matches(field[:MAX_SHOWN], known, 1)
        hint = f"; did you mean {near[0]}?" if near else ""
        yield FileFault(place or "file", f"unknown field {format_name(field)}{hint}")
    for field, part in _PARTS.get(form, {}).items():
        path = f"{place}.{field}" if place else field
        content = value.get(field)
        if not isinstance(content, list):
            yield from _find_unknown_fields(path, content, part)
            continue
        for index, each in enumerate(content):
            yield from _find_unknown_fields(f"{path}[{index}]", each, part)


def _find_replaced_values(
    routes: Sequence[RouteForm], services: Sequence[ServiceForm]
) -> Iterator[FileFault]:
    for index, route in enumerate(routes):
        if route.kind not in KINDS:
            place = format_place("routes", index, route.name)
            names = ", ".join(KINDS)
            cause = f"kind {format_name(route.kind)} is none of {names}; unsafe is used"
            yield FileFault(place, cause)
    for index, service in enumerate(services):
        place = format_place("services", index, service.name)
        for field, used in _REPLACEMENTS.items():
            value = getattr(service, field)
            if value is not None and parse_number(value) is None:
                shown = format_name(value)
                cause = f"{field} {shown} is not a number >= 0; {used:g} is used"
                yield FileFault(place, cause)
