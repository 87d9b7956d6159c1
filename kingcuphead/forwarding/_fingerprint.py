"""Recognises a request that a caller sends again under a new id, and its parts."""

import hashlib

from kingcuphead.forwarding._messages import CallerRequest
from kingcuphead.quarantine import RequestIdentity, name_parts

#: Length of a fingerprint in bytes.
FINGERPRINT_BYTES = 8


def fingerprint_request(request: CallerRequest, payer: str) -> str:
    """Return the digest that all tries of one request share.

    Parameters
    ----------
    request
        One try; its id and its timeout don't count.
    payer
        Name of the paying organisation; empty for an anonymous request.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (payer, request.method, request.host, request.uri):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def identify_request(request: CallerRequest, payer: str) -> RequestIdentity:
    """Return what recognises a request, or one that shares parts of its prompt.

    Parameters
    ----------
    request
        One try of the request.
    payer
        Name of the paying organisation; empty for an anonymous request.
    """
    parts = name_parts(part.name for part in request.shared_parts)
    return RequestIdentity(fingerprint_request(request, payer), parts)
