"""Addresses at which daemons receive datagrams and connections of other daemons."""

from kingcuphead.addresses._address import Address

__all__ = ["Address"]
