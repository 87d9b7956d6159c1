"""Stand-ins (test doubles) for the platform, a model engine and a plain service."""
