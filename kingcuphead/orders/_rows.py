"""The row that holds the newest order to a target."""

import dataclasses

import msgspec

from kingcuphead.orders._messages import Order
from kingcuphead.storage import Row

ORDER_PREFIX = "order/"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRow:
    """The newest order to one target."""

    #: Fencing number; each order to the target raises it by one.
    number: int
    #: Unique id of the attempt that wrote the row.
    attempt: str
    #: Instance that made the attempt.
    instance: str
    #: The order, as text for operators.
    order: str


def make_order_key(target: str) -> str:
    """Return the key of a target's order row."""
    return f"{ORDER_PREFIX}{target}"


def encode_order(row: OrderRow) -> bytes:
    """Encode an order row."""
    return msgspec.json.encode(row)


def decode_order(row: Row | None) -> OrderRow | None:
    """Decode an order row."""
    return None if row is None else msgspec.json.decode(row.value, type=OrderRow)


def describe_order(order: Order) -> str:
    """Return an order as text for operators."""
    name = type(order).__name__
    fields = " ".join(str(value) for value in dataclasses.astuple(order))
    return f"{name} {fields}"
