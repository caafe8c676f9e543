"""Authentication of operators' changes.

A client asks for a challenge and sends it back with a MAC over the request. The
challenge limits each MAC to one use without comparing the clocks of two machines.
"""

import hashlib
import hmac
import secrets
import time

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
# Authenticated changes within the lifetime of a challenge; more are refused.
MAX_USED_CHALLENGES = 10_000
NONCE_BYTES = 16
TIME_BYTES = 8
DIGEST_BYTES = 32
_PURPOSE = b"goldcresthoist operator 1"


def operator_key(shared_key):
    """Derive the key of operators' requests from the daemons' shared key (bytes)."""
    key = hashlib.blake2b(shared_key).digest()
    return hashlib.blake2b(_PURPOSE, key=key, digest_size=DIGEST_BYTES).digest()


def request_mac(key, method, target, challenge, body):
    """Return the MAC of a request in hex.

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
    """Issues challenges and checks that each is used once.

    A challenge carries its own time and MAC, so that requests for challenges use no
    memory. Only used ones are remembered until they expire.
    """

    def __init__(self, key, clock=time.monotonic):
        self.key = key
        self.clock = clock
        self.secret = secrets.token_bytes(DIGEST_BYTES)
        self.expires_by_used = {}

    def issue(self):
        """Return a new challenge."""
        issued_ms = int(self.clock() * 1000)
        content = issued_ms.to_bytes(TIME_BYTES, "big")
        content += secrets.token_bytes(NONCE_BYTES)
        return (content + self._sign(content)).hex()

    def verify(self, method, target, challenge, mac, body):
        """Raise `NotAuthenticated` unless the request has a valid, unused MAC."""
        expected = request_mac(self.key, method, target, challenge, body)
        if not hmac.compare_digest(expected.encode(), mac.encode()):
            raise NotAuthenticated("the MAC of the request is missing or wrong")
        self._redeem(challenge)

    def _redeem(self, challenge):
        now = self.clock()
        expires = self._expiry(challenge)
        if expires is None or expires <= now:
            raise NotAuthenticated("the challenge is unknown or has expired")
        used = self.expires_by_used
        self.expires_by_used = {key: end for key, end in used.items() if end > now}
        if challenge in self.expires_by_used:
            raise NotAuthenticated("the challenge was already used")
        if len(self.expires_by_used) >= MAX_USED_CHALLENGES:
            raise NotAuthenticated("too many changes, try again in a minute")
        self.expires_by_used[challenge] = expires

    def _expiry(self, challenge):
        """Return when a genuine challenge expires (monotonic seconds), else None."""
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
