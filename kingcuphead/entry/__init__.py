"""The daemon that runs on the users' platform."""

from kingcuphead.entry._daemon import EntryDaemon
from kingcuphead.entry._main import main

__all__ = ["EntryDaemon", "main"]
