"""How a transfer ended, and what that says about the request."""

import dataclasses
import enum

from kingcuphead.verdict import Execution, Reason, Verdict


class EndCause(enum.StrEnum):
    """Why a transfer to a target ended."""

    COMPLETE = "the answer ended"
    CONNECT_FAILED = "the target could not be reached"
    CONNECT_TIMEOUT = "the target did not accept a connection in time"
    FIRST_BYTE_TIMEOUT = "the target sent no answer in time"
    IDLE_TIMEOUT = "the target stopped sending"
    BROKEN = "the connection to the target broke"
    CANCELLED = "the transfer was cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class TransferEnd:
    """What is known about a transfer that has ended."""

    #: Why it ended.
    cause: EndCause
    #: Bytes of the request that were written to any connection.
    sent_bytes: int
    #: Bytes of the answer's body that were received.
    received_bytes: int
    #: Text of the HTTP library, empty if there is none.
    detail: str = ""


def judge_end(end: TransferEnd) -> Verdict | None:
    """Return the verdict on a transfer, or None if the answer came whole.

    A request of which nothing was written cannot have run. Once a byte was
    written, nothing but an answer proves what the target did.
    """
    if end.cause is EndCause.COMPLETE:
        return None
    execution = Execution.MAY_HAVE_RUN if end.sent_bytes else Execution.NOT_RUN
    return Verdict(execution, _choose_reason(end), end.cause.value)


def _choose_reason(end: TransferEnd) -> Reason:
    match end.cause:
        case EndCause.CANCELLED:
            return Reason.CALLER_GONE
        case EndCause.FIRST_BYTE_TIMEOUT | EndCause.IDLE_TIMEOUT:
            return Reason.TARGET_TIMED_OUT
        case _ if end.received_bytes:
            return Reason.TRUNCATED
        case _:
            return Reason.TARGET_FAILED
