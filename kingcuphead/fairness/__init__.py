"""Weighted fair queueing between organisations, for all daemons that queue requests."""

from kingcuphead.fairness._fair_queue import FairQueue, QueuedRequest, WaitingRequest

__all__ = ["FairQueue", "QueuedRequest", "WaitingRequest"]
