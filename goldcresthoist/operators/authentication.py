"""Challenge-response authentication of requests that make changes.

A client requests a challenge and returns it with a MAC over the request and the
challenge. Each challenge is valid once, so that a recorded request cannot be replayed.
Its age is measured by the daemon that issued it, so that the clocks of client and
daemon need not agree.
"""

import hashlib
import hmac
import secrets

from goldcresthoist.clock import monotonic
from goldcresthoist.operators.errors import NotAuthenticated

__all__ = [
    "CHALLENGE_HEADER",
    "MAC_HEADER",
    "Challenges",
    "operator_key",
    "request_mac",
]

CHALLENGE_HEADER = "Goldcrest-Challenge"
MAC_HEADER = "Goldcrest-Mac"
CHALLENGE_LIFETIME_S = 60.0
# Maximum number of used challenges that are stored, and so of authenticated requests
# within the lifetime of a challenge. Further requests are refused.
MAX_USED_CHALLENGES = 10_000
NONCE_BYTES = 16
TIME_BYTES = 8
DIGEST_BYTES = 32
# This text separates the derived key from other uses of the shared key.
_KEY_CONTEXT = b"goldcresthoist operator 1"


def operator_key(shared_key):
    """Derive the key for request MACs from the shared key of the daemons (bytes)."""
    key = hashlib.blake2b(shared_key).digest()
    return hashlib.blake2b(_KEY_CONTEXT, key=key, digest_size=DIGEST_BYTES).digest()


def request_mac(key, method, target, challenge, body):
    """Return the MAC of a request in hexadecimal.

    Parameters
    ----------
    key : bytes
        From `operator_key`.
    method, target, challenge : str
        Method, path with query, and the challenge received from the daemon.
    body : bytes
    """
    mac = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in (method.encode(), target.encode(), challenge.encode(), body):
        mac.update(len(part).to_bytes(8, "big"))
        mac.update(part)
    return mac.hexdigest()


class Challenges:
    """Issues challenges and verifies that each is used at most once.

    A challenge contains its time of issue and a MAC under a secret of this process, so
    that no state is kept for issued challenges. Used challenges are stored until they
    expire.
    """

    def __init__(self, key, clock=monotonic):
        self.key = key
        self.clock = clock
        self.secret = secrets.token_bytes(DIGEST_BYTES)
        self.expiry_of_used = {}

    def issue(self):
        """Return a new challenge."""
        issued_ms = int(self.clock() * 1000)
        content = issued_ms.to_bytes(TIME_BYTES, "big")
        content += secrets.token_bytes(NONCE_BYTES)
        return (content + self._sign(content)).hex()

    def verify(self, method, target, challenge, mac, body):
        """Raise `NotAuthenticated` unless MAC and challenge are valid and unused."""
        expected = request_mac(self.key, method, target, challenge, body)
        if not hmac.compare_digest(expected.encode(), mac.encode()):
            raise NotAuthenticated("the MAC of the request is missing or wrong")
        self._mark_used(challenge)

    def _mark_used(self, challenge):
        now = self.clock()
        expires = self._expiry(challenge)
        if expires is None or expires <= now:
            raise NotAuthenticated("the challenge is unknown or has expired")
        used = self.expiry_of_used
        self.expiry_of_used = {key: end for key, end in used.items() if end > now}
        if challenge in self.expiry_of_used:
            raise NotAuthenticated("the challenge was already used")
        if len(self.expiry_of_used) >= MAX_USED_CHALLENGES:
            raise NotAuthenticated(
                "too many authenticated requests, try again in a minute"
            )
        self.expiry_of_used[challenge] = expires

    def _expiry(self, challenge):
        """Return when a challenge expires, in monotonic seconds.

        The result is None if the challenge was not issued by this process.
        """
        try:
            raw = bytes.fromhex(challenge)
        except ValueError:
            return None
        content, signature = raw[:-DIGEST_BYTES], raw[-DIGEST_BYTES:]
        if not hmac.compare_digest(self._sign(content), signature):
            return None
        issued_ms = int.from_bytes(content[:TIME_BYTES], "big")
        return issued_ms / 1000 + CHALLENGE_LIFETIME_S

    def _sign(self, content):
        return hashlib.blake2b(
            content, key=self.secret, digest_size=DIGEST_BYTES
        ).digest()
