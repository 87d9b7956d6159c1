"""Differences between two configuration versions."""

import dataclasses
import enum
import math
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from kingcuphead.frozen import frozen
from kingcuphead.platform import format_name
from kingcuphead.review._labels import describe_field
from kingcuphead.routing import EngineProfile, RequestKind, RoutingConfiguration

#: Fields where a lower value takes something away from callers; None means no limit.
_LOWER_TAKES_AWAY = frozenset(
    {
        "body_bytes",
        "cold_limit",
        "header_bytes",
        "header_timeout",
        "idle_timeout",
        "is_anonymous",
        "is_resumable",
        "kv_cache_tokens",
        "max_attempts",
        "max_connections",
        "prepaid_tokens",
        "slots",
        "timeout",
    }
)
#: Fields where a higher value takes something away from callers.
_HIGHER_TAKES_AWAY = frozenset({"event_gap_objective", "objective", "rank"})
#: Request kinds, from those that are retried most to those that are retried least.
_KINDS = (RequestKind.IDEMPOTENT, RequestKind.STREAM, RequestKind.AT_MOST_ONCE)


class DifferenceKind(enum.StrEnum):
    """What happened to a part of the configuration."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@frozen
class Difference:
    """One difference from the version in force."""

    #: Whether the part was added, removed or changed.
    kind: DifferenceKind
    #: The part, such as `service "name"`.
    place: str
    #: What has changed in it; empty if the part was added or removed as a whole.
    field: str = ""
    #: Value in the version in force; empty if there was none.
    before: str = ""
    #: Value in the new version; empty if there is none.
    after: str = ""
    #: Whether callers lose something by it, such as a service or a part of a limit.
    takes_away: bool = False

    def describe(self) -> str:
        """Return the difference in words."""
        if self.kind is DifferenceKind.CHANGED:
            field = describe_field(self.field)
            return f"{self.place}: {field} changes from {self.before} to {self.after}"
        count = self.before or self.after
        if count:
            return f"{self.place}: {count} {self.kind}"
        return f"{self.place} is {self.kind}"


def compare(old: RoutingConfiguration, new: RoutingConfiguration) -> list[Difference]:
    """Return the differences between two versions.

    Parameters
    ----------
    old
        The version in force.
    new
        The version that would replace it.
    """
    return [
        *_compare_parts("route", _index_routes(old), _index_routes(new)),
        *_compare_parts("service", old.services, new.services),
        *_compare_parts("organisation", old.organisations, new.organisations),
        *_compare_keys(old.keys, new.keys),
        *_compare_fields("limits", old.limits, new.limits),
    ]


def _index_routes(configuration: RoutingConfiguration) -> dict[str, Any]:
    return {f"{each.host}{each.prefix}": each for each in configuration.routes}


def _compare_parts(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Difference]:
    for name in sorted(old.keys() | new.keys()):
        place = f"{kind} {format_name(name)}"
        if name not in new:
            yield Difference(DifferenceKind.REMOVED, place, takes_away=True)
        elif name not in old:
            yield Difference(DifferenceKind.ADDED, place)
        else:
            yield from _compare_fields(place, old[name], new[name])


def _compare_fields(place: str, old: Any, new: Any) -> Iterator[Difference]:
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if isinstance(before, EngineProfile) and isinstance(after, EngineProfile):
            yield from _compare_fields(f"{place} engine", before, after)
            continue
        yield Difference(
            DifferenceKind.CHANGED,
            place,
            field.name,
            _format(before),
            _format(after),
            _takes_away(field.name, before, after),
        )


def _takes_away(field: str, before: Any, after: Any) -> bool:
    """Whether callers lose something by the change of a field."""
    if field in _LOWER_TAKES_AWAY:
        return _is_lower(before, after)
    if field in _HIGHER_TAKES_AWAY:
        # Without an override the rank is that of the route, so it can't be compared.
        return before is not None and after is not None and after > before
    if field == "kind":
        return _KINDS.index(after) > _KINDS.index(before)
    return False


def _format(value: Any) -> str:
    match value:
        case None:
            return "none"
        case bool():
            return "yes" if value else "no"
        case float():
            return _format_number(value)
        case tuple():
            return ", ".join(
                f"{format_name(each.service)}={_format_number(each.weight)}"
                for each in value
            )
        case EngineProfile():
            return f"{value.slots} slots, {value.kv_cache_tokens} tokens"
    return str(value)


def _format_number(value: float) -> str:
    # Fewer digits would show some different values as equal.
    return f"{value:.15g}"


def _is_lower(before: float | None, after: float | None) -> bool:
    old_limit, new_limit = (
        math.inf if each is None else each for each in (before, after)
    )
    return new_limit < old_limit


def _compare_keys(
    old: Mapping[str, str], new: Mapping[str, str]
) -> Iterator[Difference]:
    # The keys are secrets, so only their number is reported.
    removed = Counter(old[key] for key in old if new.get(key) != old[key])
    added = Counter(new[key] for key in new if old.get(key) != new[key])
    for kind, counts in (
        (DifferenceKind.REMOVED, removed),
        (DifferenceKind.ADDED, added),
    ):
        for name, count in sorted(counts.items()):
            is_removed = kind is DifferenceKind.REMOVED
            yield Difference(
                kind,
                f"keys of organisation {format_name(name)}",
                before=str(count) if is_removed else "",
                after="" if is_removed else str(count),
                takes_away=is_removed,
            )
