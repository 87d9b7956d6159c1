"""Rows of quarantined fingerprints, which outlast the daemons that saw the crashes."""

from collections.abc import Iterator

import msgspec
from loguru import logger

from kingcuphead.quarantine._messages import FingerprintQuarantined
from kingcuphead.storage import Row


class _QuarantineRow(msgspec.Struct, frozen=True):
    # End of the quarantine on the store's clock, in milliseconds.
    expires_ms: int


_DECODER = msgspec.json.Decoder(_QuarantineRow)


def encode_row(remaining: float, store_time: int) -> bytes:
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


def decode_rows(
    rows: tuple[Row, ...], store_time: int
) -> Iterator[FingerprintQuarantined]:
    """Yield the fingerprints of rows; the time left of an expired one is negative.

    Parameters
    ----------
    rows
        Rows keyed by fingerprint; a malformed one is logged and left out.
    store_time
        Time of the store in milliseconds.
    """
    for row in rows:
        try:
            expires_ms = _DECODER.decode(row.value).expires_ms
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            logger.warning("cannot decode quarantine row {}: {}", row.key, error)
            continue
        yield FingerprintQuarantined(row.key, (expires_ms - store_time) / 1000)
