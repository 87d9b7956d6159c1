"""Headers that pass between callers and targets, and those that don't."""

from collections.abc import Iterable, Iterator

#: Headers that concern one connection only.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

#: Headers that are made anew for the target, or that are the caller's secret.
_REPLACED = frozenset({"host", "content-length", "expect", "authorization"})


def filter_hop_by_hop(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    """Leave out headers that concern one connection, also those it names itself."""
    pairs = tuple(headers)
    named = frozenset(
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    )
    for name, value in pairs:
        if name.lower() not in HOP_BY_HOP | named:
            yield name, value


def filter_request_headers(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    """Yield the headers of a caller that a target gets."""
    for name, value in filter_hop_by_hop(headers):
        if name.lower() not in _REPLACED:
            yield name, value


def format_header_lines(headers: Iterable[tuple[str, str]]) -> list[str]:
    """Return lines for the HTTP library.

    Raises
    ------
    ValueError
        If a name or value would break out of its line.
    """
    lines = []
    for name, value in headers:
        if not name or any(char in name + value for char in "\r\n\0") or ":" in name:
            raise ValueError(f"header {name[:64]!r} holds a control character")
        # The library drops a header without value unless it ends in a semicolon.
        lines.append(f"{name}: {value}" if value.strip() else f"{name};")
    return lines
