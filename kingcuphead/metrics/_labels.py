"""Label values of bounded cardinality."""

#: Value shared by all names beyond the limit.
OTHER = "other"
#: Value of requests that are refused before the caller is identified.
NONE = "none"


class BoundedLabel:
    """Maps names to label values, with a limit on the number of values.

    A name keeps the value that it is assigned first, so that its counters never
    decrease.

    Parameters
    ----------
    limit : int
        Maximum number of names with their own value; all others share `OTHER`.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._names: set[str] = set()

    def assign_value(self, name: str) -> str:
        """Return the label value of a name; `NONE` for an empty name."""
        if not name:
            return NONE
        if name in self._names:
            return name
        if len(self._names) >= self._limit:
            return OTHER
        self._names.add(name)
        return name
