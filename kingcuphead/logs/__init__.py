"""Structured logs without prompt text or keys."""

from kingcuphead.logs._bounded import BoundedStream
from kingcuphead.logs._setup import bind_request, set_up_logs

__all__ = ["BoundedStream", "bind_request", "set_up_logs"]
