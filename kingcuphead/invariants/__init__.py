"""Invariant checks that are also active in production."""

from kingcuphead.invariants._invariants import InvariantError, ensure, require

__all__ = ["InvariantError", "ensure", "require"]
