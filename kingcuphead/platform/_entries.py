"""Decoder of the entries that targets write to the platform's store."""

from typing import Any

import msgspec

from kingcuphead.platform._numbers import read_number
from kingcuphead.targets import Availability, Target

#: Longest time in seconds for which an entry may state that its target stays cold; an
#: invalid value is replaced by it.
MAX_COLD_LEFT = 60.0

_STATES = {"ready": Availability.READY, "draining": Availability.DRAINING}


class _Entry(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 1
    # Process start in Unix milliseconds; older target versions don't set it.
    born: int = 0
    sequence: int = 0
    # Version of the target's software, not of the model weights.
    version: str = ""
    cold_left_ms: Any = None


_DECODER = msgspec.json.Decoder(_Entry)


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
        The target, or None if the entry is malformed or has an invalid field.
    """
    try:
        entry = _DECODER.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    availability = _STATES.get(entry.state)
    host, _, port = entry.address.rpartition(":")
    if availability is None or not host or not port.isdecimal():
        return None
    return Target(
        name=name,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        availability=availability,
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
