"""Read a settings file and check it as a whole."""

import configparser
import dataclasses
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, get_type_hints

import msgspec
from expression import Error, Ok, Result

from kingcuphead.settings._allowed import describe_type, is_tuple
from kingcuphead.settings._faults import KeyFault, SettingsFault
from kingcuphead.settings._sections import ConfigurationSettings, Settings


def load_settings(path: str | Path) -> Result[Settings, SettingsFault]:
    """Read and check the file at `path`; all its faults are returned at once."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(_refuse_file(str(path), str(error), "a readable UTF-8 file"))
    return parse_settings(text, str(path))


def parse_settings(text: str, path: str) -> Result[Settings, SettingsFault]:
    """Check the text of a settings file; `path` appears in faults only."""
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        cause = " ".join(str(error).split())
        return Error(_refuse_file(path, cause, "sections of KEY = VALUE lines"))
    written = {name: dict(parser[name]) for name in parser.sections()}
    faults = [*_find_unknown_sections(written)]
    sections: dict[str, Any] = {}
    for name, section in get_type_hints(Settings).items():
        values, found = _convert_section(name, section, written.get(name, {}))
        faults.extend(found)
        if not found:
            sections[name] = section(**values)
    faults.extend(_check_order(sections.get("configuration")))
    if faults:
        return Error(SettingsFault(path, tuple(faults)))
    return Ok(Settings(**sections))


def _refuse_file(path: str, cause: str, allowed: str) -> SettingsFault:
    return SettingsFault(path, (KeyFault("file", None, None, cause, allowed),))


def _find_unknown_sections(written: Mapping[str, Any]) -> Iterator[KeyFault]:
    known = [field.name for field in dataclasses.fields(Settings)]
    for name in written:
        if name not in known:
            yield KeyFault(name, None, None, "unknown section", ", ".join(known))


def _convert_section(
    name: str, section: type, written: Mapping[str, str]
) -> tuple[dict[str, Any], list[KeyFault]]:
    """Convert the values of one section, keeping every fault on the way."""
    hints = get_type_hints(section, include_extras=True)
    values: dict[str, Any] = {}
    faults = [
        KeyFault(name, key, value, "unknown key", ", ".join(hints))
        for key, value in written.items()
        if key not in hints
    ]
    for field in dataclasses.fields(section):
        hint = hints[field.name]
        raw = written.get(field.name)
        if raw is None:
            if field.default is dataclasses.MISSING:
                allowed = describe_type(hint)
                faults.append(KeyFault(name, field.name, None, "missing", allowed))
            continue
        try:
            values[field.name] = _convert_value(raw, hint)
        except msgspec.ValidationError:
            allowed = describe_type(hint)
            faults.append(KeyFault(name, field.name, raw, "not allowed", allowed))
    return values, faults


def _convert_value(raw: str, hint: Any) -> Any:
    source = raw.split() if is_tuple(hint) else raw
    return msgspec.convert(source, hint, strict=False)


def _check_order(section: ConfigurationSettings | None) -> Iterator[KeyFault]:
    """Yield a fault if requests would be refused before `stale` is reported."""
    if section is None or section.refuse_seconds > section.stale_seconds:
        return
    yield KeyFault(
        "configuration",
        "refuse_seconds",
        str(section.refuse_seconds),
        "not allowed",
        f"more than stale_seconds, which is {section.stale_seconds}",
    )
