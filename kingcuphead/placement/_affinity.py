"""Rendezvous hashing of affinity keys over targets."""

import hashlib


def compute_score(key: bytes, target: str) -> int:
    """Return the weight of `target` for `key`; every daemon computes the same."""
    digest = hashlib.blake2b(target.encode(), key=key[:64], digest_size=8).digest()
    return int.from_bytes(digest, "big")


def encode_key(key: bytes | str) -> bytes:
    """Return an affinity key as bytes short enough to hash with."""
    raw = key.encode() if isinstance(key, str) else key
    return hashlib.blake2b(raw, digest_size=16).digest() if raw else b""
