"""The clock of the event loop, and timers that periodic tasks of a process share."""

from kingcuphead.timing._clock import get_time
from kingcuphead.timing._ticks import compute_next_tick, sleep_until_tick
from kingcuphead.timing._turns import wait_turns

__all__ = ["compute_next_tick", "get_time", "sleep_until_tick", "wait_turns"]
