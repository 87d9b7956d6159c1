"""Checks of invariants that stay on in production."""


class InvariantError(AssertionError):
    """A state that the design rules out was reached.

    Parameters
    ----------
    rule : str
        The invariant that was broken.
    **data : object
        The values that broke it.
    """

    def __init__(self, rule: str, **data: object) -> None:
        self.rule = rule
        self.data = data
        details = ", ".join(f"{name}={value!r}" for name, value in data.items())
        super().__init__(f"{rule} ({details})")


def ensure(holds: bool, rule: str, **data: object) -> None:
    """Raise `InvariantError` with the data unless the invariant holds."""
    if not holds:
        raise InvariantError(rule, **data)
