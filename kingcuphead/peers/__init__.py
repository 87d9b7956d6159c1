"""TCP connections between daemons, which carry framed messages."""

from kingcuphead.peers._envelope import (
    MAX_FRAME_BYTES,
    Envelope,
    FrameFault,
    decode_envelope,
    encode_envelope,
)
from kingcuphead.peers._links import PeerLinks
from kingcuphead.peers._messages import MESSAGE_TYPES, PeerMessage
from kingcuphead.peers._server import PeerServer

__all__ = [
    "MAX_FRAME_BYTES",
    "MESSAGE_TYPES",
    "Envelope",
    "FrameFault",
    "PeerLinks",
    "PeerMessage",
    "PeerServer",
    "decode_envelope",
    "encode_envelope",
]
