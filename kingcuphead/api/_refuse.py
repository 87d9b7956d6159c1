"""Short ways to refuse a request that has certainly not run."""

from typing import Any

from expression import Error

from kingcuphead.verdict import Execution, Outcome, Reason, Verdict


def refuse_field(field: str, fault: str) -> Outcome[Any]:
    """Refuse a request because of one field of its body.

    Parameters
    ----------
    field : str
        Path of the field in the body, or "body" for the whole of it.
    fault : str
        What is wrong with it; holds none of the caller's text.
    """
    return refuse(Reason.INVALID_REQUEST, f"{field}: {fault}")


def refuse(reason: Reason, detail: str) -> Outcome[Any]:
    """Refuse a request before anything was sent to a target."""
    return Error(Verdict(Execution.NOT_RUN, reason, detail))
