"""Rows of crashes and quarantined fingerprints, which outlast the daemons."""

import msgspec
from loguru import logger

from kingcuphead.decoding import DECODING_ERRORS
from kingcuphead.logs import RepetitionLimit, quote
from kingcuphead.quarantine._messages import SavedCrash, SavedQuarantine
from kingcuphead.quarantine._subjects import RequestIdentity
from kingcuphead.quarantine._trials import TrialHistory
from kingcuphead.storage import Row

#: First part of the keys of crashes; the other keys are quarantined fingerprints.
CRASH_PREFIX = "crash/"
#: Maximum size of a key in bytes.
MAX_KEY_BYTES = 200
#: History of a quarantine without trials.
NO_TRIALS = TrialHistory()


class _QuarantineRow(msgspec.Struct, frozen=True, omit_defaults=True):
    # End of the quarantine on the store's clock, in milliseconds.
    expires_ms: int
    # Trials that daemons were granted; versions without trials leave it out.
    trials: int = 0
    # Time of the latest on the store's clock, in milliseconds.
    tried_ms: int = 0


class _CrashRow(msgspec.Struct, frozen=True):
    # Time of the crash on the store's clock, in milliseconds.
    crashed_ms: int
    # Parts of the request's prompt that were never answered.
    parts: tuple[str, ...] = ()


_QUARANTINE_DECODER = msgspec.json.Decoder(_QuarantineRow)
_CRASH_DECODER = msgspec.json.Decoder(_CrashRow)


def make_crash_key(crash: SavedCrash) -> str:
    """Return the key of the row of a crash."""
    return f"{CRASH_PREFIX}{crash.request.fingerprint}/{crash.target}"


def encode_quarantine(
    remaining: float, store_time: int, trials: TrialHistory = NO_TRIALS
) -> bytes:
    """Return the value of the row of a quarantine.

    Parameters
    ----------
    remaining
        Seconds until the quarantine ends.
    store_time
        Time of the store in milliseconds.
    trials
        Trials that daemons were granted.
    """
    expires_ms = store_time + int(remaining * 1000)
    tried_ms = store_time - int(trials.age * 1000) if trials.count else 0
    return msgspec.json.encode(_QuarantineRow(expires_ms, trials.count, tried_ms))


def encode_crash(crash: SavedCrash, store_time: int) -> bytes:
    """Return the value of the row of a crash.

    Parameters
    ----------
    crash
        The crash.
    store_time
        Time of the store in milliseconds.
    """
    crashed_ms = store_time - int(crash.age * 1000)
    return msgspec.json.encode(_CrashRow(crashed_ms, crash.request.parts))


def decode_row(
    row: Row, store_time: int, repetitions: RepetitionLimit
) -> SavedQuarantine | SavedCrash | None:
    """Return the content of a row; None for a malformed one, which is logged.

    Parameters
    ----------
    row
        Row of the table; the time left of an expired quarantine is negative.
    store_time
        Time of the store in milliseconds.
    repetitions
        Limits the log lines about malformed rows.
    """
    try:
        if row.key.startswith(CRASH_PREFIX):
            return _decode_crash(row, store_time)
        return _decode_quarantine(row, store_time)
    # A time may be too large for a float.
    except DECODING_ERRORS as error:
        if repetitions.allows(row.key):
            key, cause = quote(row.key), quote(error)
            logger.warning("cannot decode quarantine row {}: {}", key, cause)
        return None


def _decode_quarantine(row: Row, store_time: int) -> SavedQuarantine:
    content = _QUARANTINE_DECODER.decode(row.value)
    trials = NO_TRIALS
    if content.trials > 0:
        age = (store_time - content.tried_ms) / 1000
        trials = TrialHistory(content.trials, age)
    remaining = (content.expires_ms - store_time) / 1000
    return SavedQuarantine(row.key, remaining, trials)


def _decode_crash(row: Row, store_time: int) -> SavedCrash:
    content = _CRASH_DECODER.decode(row.value)
    fingerprint, separator, target = row.key.removeprefix(CRASH_PREFIX).partition("/")
    if not separator:
        raise ValueError("the key names no target")
    request = RequestIdentity(fingerprint, content.parts)
    return SavedCrash(target, request, (store_time - content.crashed_ms) / 1000)
