"""Names of the configuration's fields in descriptions for operators, with units."""

from collections.abc import Mapping

#: Description of each field whose name isn't plain enough for operators.
LABELS: Mapping[str, str] = {
    "body_bytes": "largest body in bytes",
    "cold_limit": "requests per second of a cold target",
    "cold_period": "cold period in seconds",
    "event_gap_objective": "pause objective in seconds",
    "header_bytes": "largest request head in bytes",
    "header_timeout": "timeout for a request head in seconds",
    "idle_timeout": "timeout of idle connections in seconds",
    "is_anonymous": "requests without a key allowed",
    "is_resumable": "streams resumable",
    "kind": "kind of requests",
    "kv_cache_tokens": "memory in tokens",
    "max_attempts": "most attempts",
    "max_connections": "most connections of a target",
    "objective": "latency objective in seconds",
    "prepaid_tokens": "budget in tokens",
    "rank": "priority",
    "timeout": "timeout in seconds",
    "tokens_per_event": "tokens per event",
}


def describe_field(name: str) -> str:
    """Return the description of a field; its name if it has none."""
    return LABELS.get(name, name)
