"""What decoders of content that other processes wrote have in common."""

from kingcuphead.decoding._errors import DECODING_ERRORS
from kingcuphead.decoding._network import MAX_PORT, parse_target_address
from kingcuphead.decoding._numbers import parse_count, parse_decimal
from kingcuphead.decoding._statuses import allows_body, check_answer_status

__all__ = [
    "DECODING_ERRORS",
    "MAX_PORT",
    "allows_body",
    "check_answer_status",
    "parse_count",
    "parse_decimal",
    "parse_target_address",
]
