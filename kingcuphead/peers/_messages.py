"""Message types that daemons send to each other."""

import typing
from typing import TypeAlias

from kingcuphead import budgets, configuration
from kingcuphead.membership import Heartbeat, HeartbeatAcknowledged

PeerMessage: TypeAlias = (
    Heartbeat
    | HeartbeatAcknowledged
    | budgets.PeerMessage
    | configuration.ConfigurationRequested
    | configuration.ConfigurationOffered
)

#: Classes of `PeerMessage`; each has a struct of the same name in `peer.thrift`.
MESSAGE_TYPES: tuple[type, ...] = typing.get_args(PeerMessage)
