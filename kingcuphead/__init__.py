"""A router fleet between callers and model engines, paid from prepaid budgets."""

__version__ = "0.1.0"
