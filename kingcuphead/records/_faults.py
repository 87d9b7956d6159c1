"""Faults of records, with the place where each stands."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RecordFault:
    """One fault of one record."""

    #: Kind as written, or "record" where it could not be read.
    kind: str
    #: Name as written, or "" where it could not be read.
    name: str
    #: What is wrong, in English.
    problem: str

    @property
    def message(self) -> str:
        """The sentence that an operator reads."""
        place = f"{self.kind} {self.name!r}" if self.name else self.kind
        return f"{place}: {self.problem}"
