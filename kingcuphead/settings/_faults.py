"""Faults of a settings file, with everything needed to mend them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KeyFault:
    """One fault, with the place where it stands."""

    #: Section name.
    section: str
    #: Key, or None for a fault of the whole section.
    key: str | None
    #: Value as written, or None where there is none.
    value: str | None
    #: What is wrong, for example "out of range".
    problem: str
    #: What is allowed in this place, in English.
    allowed: str

    @property
    def message(self) -> str:
        """The line that an operator reads."""
        place = f"[{self.section}]" + (f" {self.key}" if self.key else "")
        written = "" if self.value is None else f" = {self.value!r}"
        return f"{place}{written}: {self.problem}; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """Every fault of one settings file."""

    #: Path of the file.
    path: str
    #: The faults, in the order of the sections.
    faults: tuple[KeyFault, ...]

    @property
    def message(self) -> str:
        """All faults, one a line."""
        lines = [f"{self.path}: {len(self.faults)} fault(s)"]
        lines.extend(f"  {fault.message}" for fault in self.faults)
        return "\n".join(lines)
