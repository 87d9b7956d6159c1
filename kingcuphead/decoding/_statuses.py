"""Statuses of answers that other processes wrote."""

import http

#: Statuses that HTTP defines, by their first digit. What lies below would be dropped as
#: an informational answer, and callers have no rule for what lies above.
VALID_STATUSES = range(100, 600)


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
