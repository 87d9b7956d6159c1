"""Checks that stay on in production."""


class InvariantError(AssertionError):
    """A claim was about to break a promise; nothing was sent or written.

    Parameters
    ----------
    promise : str
        What must hold.
    evidence : object
        The values that contradict it.
    """

    def __init__(self, promise: str, evidence: object) -> None:
        super().__init__(f"{promise}: {evidence!r}")
        self.promise = promise
        self.evidence = evidence


def check(holds: bool, promise: str, evidence: object) -> None:
    """Raise `InvariantError` unless the promise holds."""
    if not holds:
        raise InvariantError(promise, evidence)
