"""Datagrams between daemons; they may be lost, delayed, reordered or duplicated."""

from kingcuphead.datagrams._codec import (
    Datagram,
    DatagramError,
    decode_datagram,
    encode_datagram,
)
from kingcuphead.datagrams._peers import MAX_RECEIVERS, PeerSender
from kingcuphead.datagrams._socket import DatagramSocket

__all__ = [
    "MAX_RECEIVERS",
    "Datagram",
    "DatagramError",
    "DatagramSocket",
    "PeerSender",
    "decode_datagram",
    "encode_datagram",
]
