"""Generation and digests of bearer keys and tokens.

A key is shown once; only its digest is stored.
"""

import hashlib
import secrets

#: Random bytes in a key.
KEY_BYTES = 32
#: Prefix of generated keys and tokens.
KEY_PREFIX = "kc-"


def make_key() -> str:
    """Generate a random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()
