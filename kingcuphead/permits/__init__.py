"""What targets take from the whole fleet, as they state it themselves."""

from kingcuphead.permits._terms import TargetTerms, TermsTable

__all__ = ["TargetTerms", "TermsTable"]
