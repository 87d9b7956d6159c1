"""Tells the parts of prompts that crash targets from those beside them.

A crash loses many requests, and each of them has several parts. The culprit is in a
request of each crash; the other parts of these requests were there as often only if all
requests had them in common, and the parts of other requests only by chance.
"""

from collections.abc import Mapping

from kingcuphead.quarantine._suspicions import CrashedRequest

#: Requests lost with targets, by the part that they contain.
Crashes = Mapping[str, frozenset[CrashedRequest]]

#: Different requests with one part that have to be lost; below, the crashes may be due
#: to the request as a whole.
MIN_REQUESTS = 2


def find_culprits(
    crashes: Crashes, min_targets: int, max_disputed: int
) -> tuple[frozenset[str], ...]:
    """Return the sets of parts that explain most crashes.

    The parts of one set were together in all requests concerned, so that any of them
    may be the culprit; a request that lacks one of them is not known to be harmful.

    Parameters
    ----------
    crashes
        Requests lost with targets, by the part; only parts that were never answered.
    min_targets
        Crashed targets from which on a part is accused.
    max_disputed
        Crashed targets from which on several accused parts are all found guilty. With
        fewer, the next crash is awaited to decide between them.
    """
    accused = {
        part: lost for part, lost in crashes.items() if _is_accused(lost, min_targets)
    }
    # A part of many requests is beside a part of few whenever that one crashes.
    narrowest = {
        lost for lost in accused.values() if not any(o < lost for o in accused.values())
    }
    most = max(map(_count_targets, narrowest), default=0)
    leading = [lost for lost in narrowest if _count_targets(lost) == most]
    if len(leading) > 1 and most < max_disputed:
        return ()
    return tuple(
        frozenset(part for part, others in crashes.items() if others >= lost)
        for lost in leading
    )


def is_any_accused(crashes: Crashes, min_targets: int) -> bool:
    """Return whether a part was lost with enough targets to look for the culprit."""
    return any(_is_accused(lost, min_targets) for lost in crashes.values())


def _is_accused(lost: frozenset[CrashedRequest], min_targets: int) -> bool:
    requests = {each.fingerprint for each in lost}
    return _count_targets(lost) >= min_targets and len(requests) >= MIN_REQUESTS


def _count_targets(lost: frozenset[CrashedRequest]) -> int:
    return len({each.target for each in lost})
