"""Mutual challenge-response authentication of two daemons with the shared key.

Each side proves that it holds the key by a MAC over the nonces of both sides and the
names of the instances.
"""

import hashlib
import hmac
import os

__all__ = ["NONCE_BYTES", "hello_mac", "macs_equal", "new_nonce", "welcome_mac"]

NONCE_BYTES = 32
MAC_BYTES = 32
# BLAKE2b accepts keys of at most 64 bytes; longer shared keys are hashed first.
MAX_KEY_BYTES = 64


def new_nonce():
    """Return a random nonce of `NONCE_BYTES` bytes."""
    return os.urandom(NONCE_BYTES)


def hello_mac(key, challenge, nonce, opener):
    """Return the MAC that authenticates the opening daemon."""
    return _mac(key, b"hello", challenge, nonce, opener.encode())


def welcome_mac(key, challenge, nonce, opener, acceptor):
    """Return the MAC that authenticates the accepting daemon."""
    return _mac(key, b"welcome", challenge, nonce, opener.encode(), acceptor.encode())


def macs_equal(first, second):
    """Compare two MACs in constant time."""
    return hmac.compare_digest(first, second)


def _mac(key, *parts):
    if len(key) > MAX_KEY_BYTES:
        key = hashlib.blake2b(key).digest()
    mac = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    for part in parts:
        # Without the length prefixes, different lists of parts could give the same MAC.
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.digest()
