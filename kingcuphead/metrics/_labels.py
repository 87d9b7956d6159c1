"""Values of a label, bounded in number."""

#: The value that stands for all that have none of their own.
OTHER = "other"
#: The value for a request that was refused before its caller was known.
NONE = "none"


class BoundedLabel:
    """Gives each name its own value until there are too many.

    A name that has its own value keeps it, so that its counters never go back.

    Parameters
    ----------
    limit : int
        Most names with a value of their own.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._names: set[str] = set()

    def choose(self, name: str) -> str:
        """Return the value for a name; an empty name has `NONE`."""
        if not name:
            return NONE
        if name in self._names:
            return name
        if len(self._names) >= self._limit:
            return OTHER
        self._names.add(name)
        return name
