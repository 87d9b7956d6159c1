"""Limits on callers' requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ApiLimits:
    """Limits beyond which a request is refused during parsing."""

    #: Maximum size of a request body, in bytes.
    max_body_bytes: int = 2 * 1024 * 1024
    #: Maximum number of messages in a chat request.
    max_messages: int = 1024
    #: Maximum number of tools and functions in a chat request.
    max_tools: int = 128
    #: Maximum deadline that a caller may set, in seconds.
    max_deadline: float = 600.0
