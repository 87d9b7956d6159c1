"""Identification of callers by their bearer keys."""

import dataclasses
import hashlib
from collections.abc import Mapping
from types import MappingProxyType

from expression import Ok

from kingcuphead.api._request_errors import refuse
from kingcuphead.records import Configuration, Organisation
from kingcuphead.verdict import Outcome, Reason

#: Longest bearer key that is looked up, in characters.
MAX_KEY_LENGTH = 512


@dataclasses.dataclass(frozen=True, slots=True)
class KeyIndex:
    """The organisations of a configuration, indexed by key digest."""

    #: Revision of the indexed configuration.
    revision: int
    #: Organisations by hexadecimal SHA-256 digest of each of their keys.
    organisations: Mapping[str, Organisation]

    @classmethod
    def build(cls, configuration: Configuration) -> "KeyIndex":
        """Index the key digests of all organisations of a configuration."""
        organisations = {
            digest: organisation
            for organisation in configuration.organisations.values()
            for digest in organisation.key_digests
        }
        return cls(configuration.revision, MappingProxyType(organisations))


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a bearer key, in hexadecimal, as records hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify_caller(
    headers: Mapping[str, str], index: KeyIndex
) -> Outcome[Organisation]:
    """Return the organisation whose bearer key is in the `Authorization` header.

    The lookup compares digests, so its timing reveals nothing about stored keys.
    """
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key:
        return refuse(Reason.UNAUTHENTICATED, "a bearer key is required")
    if len(key) > MAX_KEY_LENGTH:
        return refuse(Reason.UNAUTHENTICATED, "the bearer key is not known")
    organisation = index.organisations.get(digest_key(key))
    if organisation is None:
        return refuse(Reason.UNAUTHENTICATED, "the bearer key is not known")
    return Ok(organisation)
