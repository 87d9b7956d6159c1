"""The entry daemon, which serves callers on the platform."""

from kingcuphead.entry._daemon import EntryDaemon
from kingcuphead.entry._main import main

__all__ = ["EntryDaemon", "main"]
