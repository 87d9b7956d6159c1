"""Demonstration of a fleet and its callers on one machine."""
