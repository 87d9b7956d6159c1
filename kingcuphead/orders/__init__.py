"""Orders to engines, each protected by a fencing number.

A fencing number (fencing token) increases with each order to a target. An engine that
checks it refuses an order whose number is lower than one it has already received.
"""

from kingcuphead.orders._dispatch import OrderDispatch
from kingcuphead.orders._messages import (
    ChangeRole,
    CommitReplied,
    CommitWanted,
    DispatchEffect,
    DispatchMessage,
    EngineReplied,
    EngineReply,
    LoadAdapter,
    LoadModel,
    Order,
    OrderDone,
    OrderRefused,
    OrderSuperseded,
    OrderUncertain,
    RowReplied,
    RowWanted,
    SendOrder,
    TimePassed,
    UnloadModel,
    WaitWanted,
)
from kingcuphead.orders._rows import ORDER_PREFIX, OrderRow, decode_order, encode_order

__all__ = [
    "ORDER_PREFIX",
    "ChangeRole",
    "CommitReplied",
    "CommitWanted",
    "DispatchEffect",
    "DispatchMessage",
    "EngineReplied",
    "EngineReply",
    "LoadAdapter",
    "LoadModel",
    "Order",
    "OrderDispatch",
    "OrderDone",
    "OrderRefused",
    "OrderRow",
    "OrderSuperseded",
    "OrderUncertain",
    "RowReplied",
    "RowWanted",
    "SendOrder",
    "TimePassed",
    "UnloadModel",
    "WaitWanted",
    "decode_order",
    "encode_order",
]
