"""Carries the results of failed attempts over to the retry of a request."""

from kingcuphead.queueing import RequestArrived
from kingcuphead.verdict import Execution, Verdict


def exclude_target(
    arrival: RequestArrived, target: str, verdict: Verdict
) -> RequestArrived:
    """Return the arrival of a retry that excludes the target that failed.

    The arrival records whether an earlier attempt may have run, so that a refusal by
    the queue reports it correctly.
    """
    execution = arrival.execution
    if verdict.execution is not Execution.NOT_RUN:
        execution = verdict.execution
    return arrival.with_changes(
        excluded=(*arrival.excluded, target), execution=execution
    )


def include_earlier_attempts(arrival: RequestArrived, verdict: Verdict) -> Verdict:
    """Return the verdict of the last attempt, extended to all attempts.

    If the last attempt was not run, the execution of the earlier ones decides, as one
    of them may have run.
    """
    if verdict.execution is Execution.NOT_RUN:
        return verdict.with_changes(execution=arrival.execution)
    return verdict
