"""Decodes the entries that targets write into the platform's store."""

import msgspec

from kingcuphead.targets import Availability, Target

_STATES = {"ready": Availability.READY, "draining": Availability.DRAINING}


class _Entry(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 1
    # Start of the process in Unix milliseconds; absent in older software.
    born: int = 0


_DECODER = msgspec.json.Decoder(_Entry)


def decode_target(name: str, content: bytes) -> Target | None:
    """Return the target that an entry describes, or None if it names none.

    Parameters
    ----------
    name
        Key of the entry.
    content
        Value of the entry; anybody may have written it.
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
    )
