"""What a crash may be due to: a request as a whole, or a part of its prompt.

A subject has a name: the fingerprint of a request, or the name of a part behind
`PART_PREFIX`. Several subjects of one request are written as one key, joined by
`SEPARATOR`.
"""

import hashlib
from collections.abc import Iterable

from kingcuphead.frozen import frozen

#: Precedes the name of a part, so that it differs from any fingerprint.
PART_PREFIX = "part:"
#: Joins the names of subjects in a key.
SEPARATOR = "+"
#: Longest name of a part that is kept as it is; others are replaced by a digest.
MAX_NAME_LENGTH = 24
#: Number of parts of a prompt that are told apart; further ones are left out.
MAX_PARTS = 16
#: Length of the digest of a part's name in bytes.
DIGEST_BYTES = 8


@frozen
class RequestIdentity:
    """What recognises a request, or one that shares parts of its prompt."""

    #: Digest that all tries of the request share.
    fingerprint: str
    #: Names of the subjects of those parts that other requests may contain too.
    parts: tuple[str, ...] = ()

    @property
    def subjects(self) -> tuple[str, ...]:
        """The request itself and the parts."""
        return (self.fingerprint, *self.parts)


def name_parts(names: Iterable[str]) -> tuple[str, ...]:
    """Return the names of the subjects of parts, without repetitions.

    Parameters
    ----------
    names
        Names of the parts as received from a caller.
    """
    unique = tuple(dict.fromkeys(names))[:MAX_PARTS]
    return tuple(PART_PREFIX + _shorten(name) for name in unique)


def is_part(subject: str) -> bool:
    """Return whether a subject is a part of a prompt."""
    return subject.startswith(PART_PREFIX)


def join_subjects(subjects: Iterable[str]) -> str:
    """Return the key of subjects that were in the same requests."""
    return SEPARATOR.join(sorted(subjects))


def split_key(key: str) -> frozenset[str]:
    """Return the subjects of a key."""
    return frozenset(key.split(SEPARATOR))


def _shorten(name: str) -> str:
    if name.isalnum() and len(name) <= MAX_NAME_LENGTH:
        return name
    return hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()
