"""Faults of a settings file, with the place, the value and the allowed values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KeyFault:
    """One invalid, missing or unknown entry of a settings file."""

    #: Name of the section, or "file" for a fault of the whole file.
    section: str
    #: Name of the key, or None for a fault of the whole section or file.
    key: str | None
    #: Value as it stands in the file, or None if there is none.
    value: str | None
    #: Kind of fault, for example "missing" or "not allowed"; for a fault of the whole
    #: file the error that occurred.
    problem: str
    #: Description of the allowed values, in English.
    allowed: str

    @property
    def message(self) -> str:
        """Fault as one line for the operator."""
        place = f"[{self.section}]" + (f" {self.key}" if self.key else "")
        written = "" if self.value is None else f" = {self.value!r}"
        return f"{place}{written}: {self.problem}; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """All faults of one settings file."""

    #: Path of the settings file.
    path: str
    #: The faults: unknown sections first, then by section; conflicts between keys last.
    faults: tuple[KeyFault, ...]

    @property
    def message(self) -> str:
        """All faults for the operator, one per line."""
        lines = [f"{self.path}: {len(self.faults)} fault(s)"]
        lines.extend(f"  {fault.message}" for fault in self.faults)
        return "\n".join(lines)
