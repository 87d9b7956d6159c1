"""Bearer keys and tokens: made here, shown once, and known elsewhere by digest."""

import hashlib
import secrets

#: Random bytes in a key.
KEY_BYTES = 32
KEY_PREFIX = "kc-"


def make_key() -> str:
    """Return a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()
