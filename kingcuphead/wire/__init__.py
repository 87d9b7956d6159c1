"""Thrift structs of the messages between daemons, and their conversion.

The generated modules are imported separately, so that a daemon loads only its own.
"""

from kingcuphead.wire._conversion import find_codec, make_struct, name_field

__all__ = ["find_codec", "make_struct", "name_field"]
