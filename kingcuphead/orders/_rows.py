"""Rows of the platform's table that hold the newest order to each target."""

import dataclasses

import msgspec

from kingcuphead.orders._messages import Order
from kingcuphead.storage import Row

#: Key prefix of all order rows.
ORDER_PREFIX = "order/"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRow:
    """Value of an order row: the newest order to one target."""

    #: Fencing number; increases by one with each order to the target.
    number: int
    #: Unique id of the attempt that wrote the row.
    attempt: str
    #: Name of the instance that made the attempt.
    instance: str
    #: Description of the order for operators, from `describe_order`.
    order: str


def make_order_key(target: str) -> str:
    """Return the row key of a target's newest order."""
    return f"{ORDER_PREFIX}{target}"


def encode_order(row: OrderRow) -> bytes:
    """Encode an order as a row value."""
    return msgspec.json.encode(row)


def decode_order(row: Row | None) -> OrderRow | None:
    """Decode the order in a row; None if the row does not exist."""
    return None if row is None else msgspec.json.decode(row.value, type=OrderRow)


def describe_order(order: Order) -> str:
    """Return the type and fields of an order as text for operators."""
    name = type(order).__name__
    fields = " ".join(str(value) for value in dataclasses.astuple(order))
    return f"{name} {fields}"
