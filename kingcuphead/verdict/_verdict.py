"""The common error type of the request path."""

import dataclasses
import enum
from typing import TypeAlias, TypeVar

from expression import Result

from kingcuphead.frozen import frozen

T = TypeVar("T")


class Execution(enum.StrEnum):
    """Whether a target may have executed the request."""

    #: The request was not sent, or the target refused to execute it.
    NOT_RUN = "not_run"
    #: The request was sent and its result is unknown.
    MAY_HAVE_RUN = "may_have_run"
    #: The request was executed and its result recorded.
    RAN = "ran"


class Reason(enum.StrEnum):
    """Machine-readable cause of a refusal."""

    INVALID_REQUEST = "invalid_request"
    REQUEST_TOO_LARGE = "request_too_large"
    UNAUTHENTICATED = "unauthenticated"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    SERVICE_NOT_FOUND = "service_not_found"
    BUDGET_EXHAUSTED = "budget_exhausted"
    CREDIT_UNAVAILABLE = "credit_unavailable"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_TARGET = "no_target"
    TARGETS_CLOSED = "targets_closed"
    QUARANTINED = "quarantined"
    STREAM_UNKNOWN = "stream_unknown"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    ALREADY_CLAIMED = "already_claimed"
    CONFIGURATION_STALE = "configuration_stale"
    SHUTTING_DOWN = "shutting_down"
    TARGET_FAILED = "target_failed"
    TARGET_REFUSED = "target_refused"
    TARGET_TIMED_OUT = "target_timed_out"
    TRUNCATED = "truncated"
    BILL_UNCERTAIN = "bill_uncertain"
    CALLER_GONE = "caller_gone"
    MEMORY_FULL = "memory_full"
    INTERNAL_ERROR = "internal_error"


@frozen
class Verdict:
    """A refusal: whether the request may have run, the cause, and when to retry.

    The error message for the caller is built from these fields.
    """

    #: Whether the request may have been executed.
    execution: Execution
    #: Machine-readable cause.
    reason: Reason
    #: Description of this refusal in English; contains neither prompt text nor keys.
    detail: str
    #: Seconds after which a retry may succeed; None if a retry can't succeed.
    retry_after: float | None = None

    @property
    def message(self) -> str:
        """The error message for the caller."""
        return f"{self.detail} ({self.execution.value.replace('_', ' ')})"

    def with_changes(self, **changes: object) -> "Verdict":
        """Return a copy with the given fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


#: The result of a step on the request path, or the verdict that ends the request.
Outcome: TypeAlias = Result[T, Verdict]
