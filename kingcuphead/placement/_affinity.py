"""Rendezvous hashing of affinity keys over targets."""

import hashlib


def compute_score(key: bytes, target: str) -> int:
    """Return the rendezvous weight of `target` for `key`, the same on every daemon."""
    digest = hashlib.blake2b(target.encode(), key=key[:64], digest_size=8).digest()
    return int.from_bytes(digest, "big")


def encode_key(key: bytes | str) -> bytes:
    """Return a digest short enough for a BLAKE2b key; empty for an empty key."""
    raw = key.encode() if isinstance(key, str) else key
    return hashlib.blake2b(raw, digest_size=16).digest() if raw else b""
