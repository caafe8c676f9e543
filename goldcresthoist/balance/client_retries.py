"""Detection of requests that a caller retries after a refusal or a failure."""

from collections import OrderedDict

__all__ = ["ClientRetries"]

# Number of entries beyond which the oldest is removed. It bounds memory when very many
# requests are refused.
MAX_ENTRIES = 4096


class ClientRetries:
    """Keeps the time of the first attempt of requests that did not succeed.

    A caller retries under a new request id, but with the same method, target and body,
    and at the daemon on its own instance. The soft deadline of the request still counts
    from the first attempt. Identical requests of several callers may be mistaken for
    each other, which affects only the order in which they are served.

    Attributes
    ----------
    entries : OrderedDict
        For each fingerprint, the time of the first attempt and the caller's deadline,
        in monotonic seconds. The entry whose last attempt ended first comes first.
    """

    def __init__(self):
        self.entries = OrderedDict()

    def pop_first_attempt(self, fingerprint, now):
        """Return the time of the first attempt of a request; ``now`` if it is new.

        The entry is removed, so it is used for one retry only.

        Parameters
        ----------
        fingerprint : bytes
            Digest of the method, target and body.
        now : float
            Monotonic seconds.
        """
        entry = self.entries.pop(fingerprint, None)
        if entry is None or now > entry[1]:
            return now
        return entry[0]

    def record(self, fingerprint, first, deadline):
        """Record that an attempt of a request ended without success now.

        Parameters
        ----------
        fingerprint : bytes
            Digest of the method, target and body.
        first, deadline : float
            Start of the first attempt, and the time until which the caller waits and
            may retry, in monotonic seconds.
        """
        self.entries.pop(fingerprint, None)
        self.entries[fingerprint] = (first, deadline)
        while len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)
