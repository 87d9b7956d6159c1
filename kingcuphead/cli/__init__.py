"""The operators' command-line tool."""

from kingcuphead.cli._main import main

__all__ = ["main"]
