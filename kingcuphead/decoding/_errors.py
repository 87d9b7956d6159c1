"""Errors of decoders."""

import msgspec

#: What decoding untrusted content may raise, whatever the content. Deep nesting raises
#: `RecursionError`, numbers `OverflowError`, texts and base64 kinds of `ValueError`.
DECODING_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
