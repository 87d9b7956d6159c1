"""Identification stage: finds the organisation that sent a request."""

from kingcuphead.api import (
    ApiLimits,
    KeyIndex,
    identify_caller,
    parse_caller_headers,
)
from kingcuphead.pipeline._stages import Identified, Received
from kingcuphead.verdict import Outcome


def identify(
    received: Received, index: KeyIndex, limits: ApiLimits
) -> Outcome[Identified]:
    """Find the organisation by its bearer key and validate the caller's headers."""
    return identify_caller(received.headers, index).bind(
        lambda organisation: parse_caller_headers(
            received.headers, organisation, limits
        ).map(lambda headers: Identified(received, organisation, headers))
    )
