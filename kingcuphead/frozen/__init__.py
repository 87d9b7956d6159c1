"""Frozen data classes that are cheap to create."""

from kingcuphead.frozen._frozen import frozen

__all__ = ["frozen"]
