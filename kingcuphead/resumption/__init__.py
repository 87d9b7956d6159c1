"""Which software version began a stream that a caller resumes."""

from kingcuphead.resumption._exchange import ResumptionExchange
from kingcuphead.resumption._history import VersionHistory
from kingcuphead.resumption._messages import (
    BegunStream,
    OriginSource,
    ResumptionMessage,
    ServedVersion,
    StreamAsked,
    StreamOrigin,
    StreamsBegan,
)
from kingcuphead.resumption._origin_store import OriginStore
from kingcuphead.resumption._registry import STREAM_LIFETIME, StreamRegistry

__all__ = [
    "STREAM_LIFETIME",
    "BegunStream",
    "OriginSource",
    "OriginStore",
    "ResumptionExchange",
    "ResumptionMessage",
    "ServedVersion",
    "StreamAsked",
    "StreamOrigin",
    "StreamRegistry",
    "StreamsBegan",
    "VersionHistory",
]
