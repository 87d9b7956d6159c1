"""Statuses of answers that other processes wrote."""

import http

#: Statuses of answers that have no body, whatever the request.
STATUSES_WITHOUT_BODY = frozenset(
    {http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED}
)
#: Statuses that HTTP defines, by their first digit. What lies below would be dropped as
#: an informational answer, and callers have no rule for what lies above.
VALID_STATUSES = range(100, 600)


def allows_body(method: str, status: int) -> bool:
    """Return whether the answer to a request has a body, if an empty one.

    Parameters
    ----------
    method
        Method of the request.
    status
        Final status of the answer.
    """
    return method != "HEAD" and status not in STATUSES_WITHOUT_BODY


def check_answer_status(status: int) -> None:
    """Raise `ValueError` for a status that no server in order answers with.

    Parameters
    ----------
    status
        Status as the start line states it.
    """
    if status not in VALID_STATUSES:
        raise ValueError(f"no HTTP status: {status}")
    if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
        raise ValueError("a switch to a protocol that was not asked for")
