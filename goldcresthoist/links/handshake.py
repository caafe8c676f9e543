"""Mutual authentication of two daemons by the shared key."""

import hashlib
import hmac
import os

__all__ = ["NONCE_BYTES", "hello_mac", "new_nonce", "same_mac", "welcome_mac"]

NONCE_BYTES = 32
MAC_BYTES = 32
# BLAKE2b takes keys of at most 64 bytes; longer shared keys are hashed first.
MAX_KEY_BYTES = 64


def new_nonce():
    """Return a random nonce."""
    return os.urandom(NONCE_BYTES)


def hello_mac(key, challenge, nonce, opener):
    """Return the proof of the opening daemon."""
    return _mac(key, b"hello", challenge, nonce, opener.encode())


def welcome_mac(key, challenge, nonce, opener, acceptor):
    """Return the proof of the accepting daemon."""
    return _mac(key, b"welcome", challenge, nonce, opener.encode(), acceptor.encode())


def same_mac(first, second):
    """Compare two proofs in constant time."""
    return hmac.compare_digest(first, second)


def _mac(key, *parts):
    if len(key) > MAX_KEY_BYTES:
        key = hashlib.blake2b(key).digest()
    mac = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    for part in parts:
        # The lengths keep two different lists of parts from giving the same bytes.
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.digest()
