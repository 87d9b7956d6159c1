"""Verdicts: whether a request may have run, and why it was refused."""

from kingcuphead.verdict._verdict import Execution, Outcome, Reason, Verdict

__all__ = ["Execution", "Outcome", "Reason", "Verdict"]
