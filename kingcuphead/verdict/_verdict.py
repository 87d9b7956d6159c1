"""The one error type of the request path."""

import dataclasses
import enum
from typing import TypeAlias, TypeVar

from expression import Result

T = TypeVar("T")


class Execution(enum.StrEnum):
    """Whether a target may have executed the request."""

    #: No byte of the request can have reached a target.
    NOT_RUN = "not_run"
    #: The request was sent, and its result is not known.
    MAY_HAVE_RUN = "may_have_run"
    #: The request was executed, and its result was recorded.
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
    QUARANTINED = "quarantined"
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


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A truthful refusal: what happened, why, and when to come back.

    The message that a caller reads is built from these fields.
    """

    #: Whether the request may have been executed.
    execution: Execution
    #: Machine-readable cause.
    reason: Reason
    #: The detail of this one refusal, in English; never holds prompt text or keys.
    detail: str
    #: Seconds after which a retry may succeed; None where a retry cannot help.
    retry_after: float | None = None

    @property
    def message(self) -> str:
        """The sentence shown to the caller."""
        return f"{self.detail} ({self.execution.value.replace('_', ' ')})"

    def with_changes(self, **changes: object) -> "Verdict":
        """Return a copy with the named fields replaced."""
        return dataclasses.replace(self, **changes)  # type: ignore[arg-type]


#: A value, or the verdict that ended the request.
Outcome: TypeAlias = Result[T, Verdict]
