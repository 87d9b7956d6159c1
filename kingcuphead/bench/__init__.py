"""Benchmarks of the product, run by developers."""
