"""Measurements of the project's own processes; the product never imports them."""
