"""Faults found in records."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RecordFault:
    """A validation error in one record."""

    #: Kind given in the record, or "record" if it could not be decoded.
    kind: str
    #: Name given in the record, or "" if it could not be decoded.
    name: str
    #: Description of the error, in English.
    problem: str

    @property
    def message(self) -> str:
        """Error text for operators: kind, name and problem."""
        place = f"{self.kind} {self.name!r}" if self.name else self.kind
        return f"{place}: {self.problem}"
