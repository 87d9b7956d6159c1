"""Filters and formats the headers forwarded between callers and targets."""

from collections.abc import Iterable, Iterator

#: Hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
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

#: Headers that are generated for the target, or that carry the caller's credentials.
_NOT_FORWARDED = frozenset({"host", "content-length", "expect", "authorization"})


def filter_hop_by_hop(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    """Drop hop-by-hop headers and the headers that `Connection` lists."""
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
    """Yield the headers of a caller that are forwarded to a target."""
    for name, value in filter_hop_by_hop(headers):
        if name.lower() not in _NOT_FORWARDED:
            yield name, value


def format_header_lines(headers: Iterable[tuple[str, str]]) -> list[str]:
    """Return the headers as lines for libcurl.

    Raises
    ------
    ValueError
        If a name is invalid, or a name or value contains a line break or null byte.
    """
    lines = []
    for name, value in headers:
        if not name or any(char in name + value for char in "\r\n\0") or ":" in name:
            raise ValueError(
                f"header {name[:64]!r} has an invalid name, a line break or a null byte"
            )
        # libcurl omits a header without a value unless its line ends in a semicolon.
        lines.append(f"{name}: {value}" if value.strip() else f"{name};")
    return lines
