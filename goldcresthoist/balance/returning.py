"""Requests that come again after a refusal or a failure."""

from collections import OrderedDict

__all__ = ["ReturningRequests"]

# Callers come back within a third of the time that they have left; the longest deadline
# on the sites is 7.5 s.
RETENTION_S = 4.0
# Bounds memory under a storm of refusals.
MAX_ENTRIES = 4096


class ReturningRequests:
    """Remembers when the requests that got no answer were first sent.

    A caller comes back under a new request id, but with the same method, target and
    body, to the daemon on its own instance. The aim of its answer still counts from the
    first attempt. Callers that ask for the same thing at the same time may be confused;
    that changes the order in which they are served and nothing else.
    """

    def __init__(self):
        # First attempt and time of the end by fingerprint, oldest end first.
        self.first_sent = OrderedDict()

    def first_attempt(self, fingerprint, now):
        """Return when the request was first sent; ``now`` when it is new.

        Parameters
        ----------
        fingerprint : bytes
        now : float
            Monotonic seconds.
        """
        found = self.first_sent.pop(fingerprint, None)
        if found is None or now - found[1] > RETENTION_S:
            return now
        return found[0]

    def record(self, fingerprint, first, now):
        """Keep a request that ended without an answer."""
        self.first_sent.pop(fingerprint, None)
        self.first_sent[fingerprint] = (first, now)
        while len(self.first_sent) > MAX_ENTRIES:
            self.first_sent.popitem(last=False)
