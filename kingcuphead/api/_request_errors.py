"""Errors for requests that are refused before anything is sent to a target."""

from typing import Any

from expression import Error

from kingcuphead.verdict import Execution, Outcome, Reason, Verdict


def refuse_field(field: str, fault: str) -> Outcome[Any]:
    """Return an error for one field of the request body.

    Parameters
    ----------
    field : str
        Path of the field, or "body" for the whole body.
    fault : str
        Description of the error; contains no values from the request.
    """
    return refuse(Reason.INVALID_REQUEST, f"{field}: {fault}")


def refuse(reason: Reason, detail: str) -> Outcome[Any]:
    """Return an error verdict with `Execution.NOT_RUN`."""
    return Error(Verdict(Execution.NOT_RUN, reason, detail))
