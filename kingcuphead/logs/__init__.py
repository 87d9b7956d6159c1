"""Structured logging that keeps prompt text and keys out of the log."""

from kingcuphead.logs._bounded import BoundedStream
from kingcuphead.logs._setup import bind_request, set_up_logs

__all__ = ["BoundedStream", "bind_request", "set_up_logs"]
