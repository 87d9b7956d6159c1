"""Parser and validation of the settings file."""

import configparser
import dataclasses
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, get_type_hints

import msgspec
from expression import Error, Ok, Result

from kingcuphead.settings._constraints import describe_constraint, is_tuple
from kingcuphead.settings._faults import KeyFault, SettingsFault
from kingcuphead.settings._sections import ConfigurationSettings, Settings


def load_settings(path: str | Path) -> Result[Settings, SettingsFault]:
    """Read and validate the file at `path`; all of its faults are returned together."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(_make_file_fault(str(path), str(error), "a readable UTF-8 file"))
    return parse_settings(text, str(path))


def parse_settings(text: str, path: str) -> Result[Settings, SettingsFault]:
    """Parse and validate the text of a settings file; `path` is used in faults only."""
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        cause = " ".join(str(error).split())
        return Error(_make_file_fault(path, cause, "sections of KEY = VALUE lines"))
    raw_sections = {name: dict(parser[name]) for name in parser.sections()}
    faults = [*_find_unknown_sections(raw_sections)]
    sections: dict[str, Any] = {}
    for name, section in get_type_hints(Settings).items():
        values, section_faults = _convert_section(
            name, section, raw_sections.get(name, {})
        )
        faults.extend(section_faults)
        if not section_faults:
            sections[name] = section(**values)
    faults.extend(_check_staleness_limits(sections.get("configuration")))
    if faults:
        return Error(SettingsFault(path, tuple(faults)))
    return Ok(Settings(**sections))


def _make_file_fault(path: str, cause: str, allowed: str) -> SettingsFault:
    return SettingsFault(path, (KeyFault("file", None, None, cause, allowed),))


def _find_unknown_sections(raw_sections: Mapping[str, Any]) -> Iterator[KeyFault]:
    section_names = [field.name for field in dataclasses.fields(Settings)]
    for name in raw_sections:
        if name not in section_names:
            yield KeyFault(
                name, None, None, "unknown section", ", ".join(section_names)
            )


def _convert_section(
    name: str, section: type, raw_values: Mapping[str, str]
) -> tuple[dict[str, Any], list[KeyFault]]:
    """Convert the values of one section and collect all of its faults."""
    hints = get_type_hints(section, include_extras=True)
    values: dict[str, Any] = {}
    faults = [
        KeyFault(name, key, value, "unknown key", ", ".join(hints))
        for key, value in raw_values.items()
        if key not in hints
    ]
    for field in dataclasses.fields(section):
        hint = hints[field.name]
        raw = raw_values.get(field.name)
        if raw is None:
            if field.default is dataclasses.MISSING:
                allowed = describe_constraint(hint)
                faults.append(KeyFault(name, field.name, None, "missing", allowed))
            continue
        try:
            values[field.name] = _convert_value(raw, hint)
        except msgspec.ValidationError:
            allowed = describe_constraint(hint)
            faults.append(KeyFault(name, field.name, raw, "not allowed", allowed))
    return values, faults


def _convert_value(raw: str, hint: Any) -> Any:
    source = raw.split() if is_tuple(hint) else raw
    return msgspec.convert(source, hint, strict=False)


def _check_staleness_limits(
    section: ConfigurationSettings | None,
) -> Iterator[KeyFault]:
    """Yield a fault if `refuse_seconds` does not exceed `stale_seconds`.

    Otherwise requests would be refused before the daemon reports `stale`.
    """
    if section is None or section.refuse_seconds > section.stale_seconds:
        return
    yield KeyFault(
        "configuration",
        "refuse_seconds",
        str(section.refuse_seconds),
        "not allowed",
        f"more than stale_seconds, which is {section.stale_seconds}",
    )
