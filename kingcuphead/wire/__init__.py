"""Wire format of messages between daemons, encoded with Thrift."""

from kingcuphead.wire._conversion import find_codec
from kingcuphead.wire._envelope import (
    MAX_FRAME_BYTES,
    Envelope,
    FrameFault,
    decode_envelope,
    encode_envelope,
    name_field,
    ttypes,
)
from kingcuphead.wire._messages import MESSAGE_TYPES, PeerMessage

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGE_TYPES",
    "Envelope",
    "FrameFault",
    "PeerMessage",
    "decode_envelope",
    "encode_envelope",
    "find_codec",
    "name_field",
    "ttypes",
]
