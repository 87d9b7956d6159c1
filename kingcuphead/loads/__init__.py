"""The load of the whole fleet on each target, told from daemon to daemon."""

from kingcuphead.loads._board import REPORT_LIFETIME, LoadBoard
from kingcuphead.loads._exchange import LoadExchange
from kingcuphead.loads._messages import LoadsReported, TargetLoad

__all__ = [
    "REPORT_LIFETIME",
    "LoadBoard",
    "LoadExchange",
    "LoadsReported",
    "TargetLoad",
]
