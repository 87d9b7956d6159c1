"""Measurements of the product, run by developers."""
