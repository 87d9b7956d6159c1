"""The arrival of a request that is tried again."""

from kingcuphead.queueing import RequestArrived
from kingcuphead.verdict import Execution, Verdict


def exclude_target(
    arrival: RequestArrived, target: str, verdict: Verdict
) -> RequestArrived:
    """Return the arrival of a retry that avoids the target that failed.

    It remembers whether an earlier attempt may have run, so that a refusal in the
    queue tells the truth.
    """
    execution = arrival.execution
    if verdict.execution is not Execution.NOT_RUN:
        execution = verdict.execution
    return arrival.with_changes(
        excluded=(*arrival.excluded, target), execution=execution
    )


def include_history(arrival: RequestArrived, verdict: Verdict) -> Verdict:
    """Return the verdict of the last attempt as it is true of all of them.

    An attempt that was not run says nothing of an earlier one that may have run.
    """
    if verdict.execution is Execution.NOT_RUN:
        return verdict.with_changes(execution=arrival.execution)
    return verdict
