"""Rows of crashes and quarantined fingerprints, which outlast the daemons."""

import dataclasses

import msgspec
from loguru import logger

from kingcuphead.quarantine._messages import FingerprintQuarantined
from kingcuphead.storage import Row

#: First part of the keys of crashes; the other keys are quarantined fingerprints.
CRASH_PREFIX = "crash/"
#: Maximum size of a key in bytes.
MAX_KEY_BYTES = 200


@dataclasses.dataclass(frozen=True, slots=True)
class SavedCrash:
    """A crash under a request, as kept in the table."""

    #: Fingerprint of the request.
    fingerprint: str
    #: Incarnation of the target that crashed.
    target: str
    #: Seconds since the crash.
    age: float

    @property
    def key(self) -> str:
        """Key of its row."""
        return f"{CRASH_PREFIX}{self.fingerprint}/{self.target}"


class _QuarantineRow(msgspec.Struct, frozen=True):
    # End of the quarantine on the store's clock, in milliseconds.
    expires_ms: int


class _CrashRow(msgspec.Struct, frozen=True):
    # Time of the crash on the store's clock, in milliseconds.
    crashed_ms: int


_QUARANTINE_DECODER = msgspec.json.Decoder(_QuarantineRow)
_CRASH_DECODER = msgspec.json.Decoder(_CrashRow)


def encode_quarantine(remaining: float, store_time: int) -> bytes:
    """Return the value of the row of one fingerprint.

    Parameters
    ----------
    remaining
        Seconds until the quarantine ends.
    store_time
        Time of the store in milliseconds.
    """
    expires_ms = store_time + int(remaining * 1000)
    return msgspec.json.encode(_QuarantineRow(expires_ms))


def encode_crash(crash: SavedCrash, store_time: int) -> bytes:
    """Return the value of the row of a crash.

    Parameters
    ----------
    crash
        The crash.
    store_time
        Time of the store in milliseconds.
    """
    return msgspec.json.encode(_CrashRow(store_time - int(crash.age * 1000)))


def decode_row(row: Row, store_time: int) -> FingerprintQuarantined | SavedCrash | None:
    """Return the content of a row; None for a malformed one, which is logged.

    Parameters
    ----------
    row
        Row of the table; the time left of an expired quarantine is negative.
    store_time
        Time of the store in milliseconds.
    """
    try:
        if row.key.startswith(CRASH_PREFIX):
            return _decode_crash(row, store_time)
        expires_ms = _QUARANTINE_DECODER.decode(row.value).expires_ms
        return FingerprintQuarantined(row.key, (expires_ms - store_time) / 1000)
    except (msgspec.MsgspecError, ValueError) as error:
        logger.warning("cannot decode quarantine row {}: {}", row.key, error)
        return None


def _decode_crash(row: Row, store_time: int) -> SavedCrash:
    crashed_ms = _CRASH_DECODER.decode(row.value).crashed_ms
    fingerprint, separator, target = row.key.removeprefix(CRASH_PREFIX).partition("/")
    if not separator:
        raise ValueError("the key names no target")
    return SavedCrash(fingerprint, target, (store_time - crashed_ms) / 1000)
