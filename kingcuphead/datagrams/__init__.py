"""Single messages between daemons; each may be lost, late, or come twice."""

from kingcuphead.datagrams._codec import Datagram, decode_datagram, encode_datagram
from kingcuphead.datagrams._socket import Address, DatagramSocket

__all__ = [
    "Address",
    "Datagram",
    "DatagramSocket",
    "decode_datagram",
    "encode_datagram",
]
