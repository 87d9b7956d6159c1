"""Which organisation a caller's key names."""

import dataclasses
import hashlib
from collections.abc import Mapping
from types import MappingProxyType

from expression import Ok

from kingcuphead.api._refuse import refuse
from kingcuphead.records import Configuration, Organisation
from kingcuphead.verdict import Outcome, Reason

#: Longest bearer key that is looked at, in characters.
MAX_KEY_LENGTH = 512


@dataclasses.dataclass(frozen=True, slots=True)
class KeyIndex:
    """The organisations of one configuration by the digests of their keys."""

    #: Revision of the configuration that the index was built from.
    revision: int
    #: Organisations by hexadecimal SHA-256 digest.
    organisations: Mapping[str, Organisation]

    @classmethod
    def build(cls, configuration: Configuration) -> "KeyIndex":
        """Index every key of a configuration."""
        organisations = {
            digest: organisation
            for organisation in configuration.organisations.values()
            for digest in organisation.key_digests
        }
        return cls(configuration.revision, MappingProxyType(organisations))


def digest_key(key: str) -> str:
    """Return the form in which a bearer key is kept in the records."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify_caller(
    headers: Mapping[str, str], index: KeyIndex
) -> Outcome[Organisation]:
    """Find the organisation whose key the `Authorization` header carries.

    The lookup goes by digest, so its duration tells nothing about the keys.
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
