"""The entry daemon, which serves callers on the platform."""
