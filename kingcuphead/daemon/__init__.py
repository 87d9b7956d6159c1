"""The daemon: tasks that run the state machines, and its servers and connections."""

from kingcuphead.daemon._main import main

__all__ = ["main"]
