"""Verdicts: why a request was refused, and whether it may have been executed."""

from kingcuphead.verdict._verdict import Execution, Outcome, Reason, Verdict

__all__ = ["Execution", "Outcome", "Reason", "Verdict"]
