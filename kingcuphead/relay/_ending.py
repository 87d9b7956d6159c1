"""Results of transfers and the verdicts that follow from them."""

import dataclasses
import enum

from kingcuphead.verdict import Execution, Reason, Verdict


class EndCause(enum.StrEnum):
    """Cause of the end of a transfer to a target; the value is the verdict's detail."""

    COMPLETE = "the answer ended"
    CONNECT_FAILED = "the target could not be reached"
    CONNECT_TIMEOUT = "the target did not accept a connection in time"
    FIRST_BYTE_TIMEOUT = "the target sent no answer in time"
    IDLE_TIMEOUT = "the target stopped sending"
    BROKEN = "the connection to the target broke"
    CANCELLED = "the transfer was cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class TransferEnd:
    """Result of a transfer that has ended."""

    #: Cause of the end.
    cause: EndCause
    #: Bytes of the request that were written, over all connections used for it.
    sent_bytes: int
    #: Bytes of the response body that were received.
    received_bytes: int
    #: Error message of libcurl; empty if there is none.
    detail: str = ""


def classify_end(end: TransferEnd) -> Verdict | None:
    """Return the verdict on a transfer, or None if the response is complete.

    A request of which no byte was written can't have run. Once a byte is written,
    only a response shows whether the target executed the request.
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
