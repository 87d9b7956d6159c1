"""Timers that the periodic tasks of a process share."""

from kingcuphead.timing._ticks import compute_next_tick, sleep_until_tick

__all__ = ["compute_next_tick", "sleep_until_tick"]
