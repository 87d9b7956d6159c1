"""A demonstration of the whole product on one machine."""
