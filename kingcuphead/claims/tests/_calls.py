"""Sample requests, claims and rows for the tests of claims."""

from kingcuphead.claims import ClaimRequest, ClaimRow, ClaimSettings, RecordedAnswer
from kingcuphead.claims._rows import encode_claim
from kingcuphead.storage import Row

SETTINGS = ClaimSettings(acquire_timeout=2.0, initial_backoff=0.1, close_timeout=60.0)
ANSWER = RecordedAnswer(201, (("Content-Type", "text/plain"),), b"order 7")


def make_request(attempt: str = "a-1", fingerprint: str = "f") -> ClaimRequest:
    """Return a request for the sample call by the given attempt."""
    return ClaimRequest("org", "key", fingerprint, attempt, "r", "i-1", 1000.0)


def make_row(claim: ClaimRow, version: int = 5) -> Row:
    """Return the row of the sample call, with the claim as its value."""
    return Row(make_request().row_key, version, encode_claim(claim))
