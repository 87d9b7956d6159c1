"""The command-line tool for operators."""

from kingcuphead.cli._main import main

__all__ = ["main"]
