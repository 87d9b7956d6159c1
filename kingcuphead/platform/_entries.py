"""Decoder of the entries that targets write to the platform's store."""

from typing import Annotated, Any

import msgspec
from loguru import logger

from kingcuphead.decoding import DECODING_ERRORS, parse_target_address
from kingcuphead.logs import RepetitionLimit, quote
from kingcuphead.platform._numbers import read_number
from kingcuphead.targets import Availability, Target

#: Longest time in seconds for which an entry may state that its target stays cold; an
#: invalid value is replaced by it.
MAX_COLD_LEFT = 60.0
#: Largest number in an entry; a float represents all integers up to it exactly.
MAX_NUMBER = 2**53
#: Largest number of slots in an entry; messages between daemons have 32 bits for it.
MAX_SLOTS = 2**31 - 1
#: Largest number of characters of a text in an entry.
MAX_TEXT_LENGTH = 1_000

_STATES = {"ready": Availability.READY, "draining": Availability.DRAINING}

_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


class _Entry(msgspec.Struct):
    # Each target writes these fields; an entry that lacks one is another writer's.
    service: _Text
    address: _Text
    zone: _Text
    # Version of the target's software, not of the model weights.
    version: _Text
    slots: _Slots
    state: _Text
    sequence: _Number
    # Process start in Unix milliseconds; older target versions don't set it.
    born: _Number = 0
    cold_left_ms: Any = None


_DECODER = msgspec.json.Decoder(_Entry)
_repetitions = RepetitionLimit()


def decode_target(name: str, content: bytes) -> Target | None:
    """Decode the entry of a target.

    Parameters
    ----------
    name
        Key of the entry.
    content
        Value of the entry. It is untrusted: any client of the store may write it.

    Returns
    -------
    Target | None
        The target, or None if the entry is malformed or has an invalid field, which is
        logged.
    """
    try:
        return _decode_entry(name, content)
    except DECODING_ERRORS as error:
        if _repetitions.allows(name):
            logger.warning(
                "cannot decode entry of target {}: {}", quote(name), quote(error)
            )
        return None


def _decode_entry(name: str, content: bytes) -> Target:
    """Decode an entry, or raise one of the errors of decoders."""
    entry = _DECODER.decode(content)
    if entry.state not in _STATES:
        raise ValueError(f"unknown state {entry.state}")
    if parse_target_address(entry.address) is None:
        raise ValueError(f"no IP address and port: {entry.address}")
    return Target(
        name=name,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        availability=_STATES[entry.state],
        started_at_ms=entry.born,
        sequence=entry.sequence,
        software_version=entry.version,
        cold_left=_read_cold_left(entry.cold_left_ms),
    )


def _read_cold_left(value: Any) -> float | None:
    if value is None:
        return None
    milliseconds = read_number("cold_left_ms", value, MAX_COLD_LEFT * 1000)
    return min(milliseconds / 1000, MAX_COLD_LEFT)
