"""Limits on what a caller may send."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ApiLimits:
    """Sizes beyond which a request is refused before it is parsed further."""

    #: Largest request body, in bytes.
    max_body_bytes: int = 2 * 1024 * 1024
    #: Most messages in one chat request.
    max_messages: int = 1024
    #: Most tools in one chat request.
    max_tools: int = 128
    #: Longest deadline that a caller may ask for, in seconds.
    max_deadline: float = 600.0
