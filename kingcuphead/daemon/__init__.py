"""The daemon: tasks that own the machines and the sockets."""

from kingcuphead.daemon._main import main

__all__ = ["main"]
