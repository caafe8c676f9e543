"""Tracking of requests that were running when an upstream crashed."""

import msgspec

__all__ = ["CRASHES_TO_REFUSE", "CrashSuspects", "SuspectRecord"]

# Number of crashes after which a request is refused.
CRASHES_TO_REFUSE = 2
# A suspect expires this long after its last crash.
SUSPECT_EXPIRY_S = 600.0
# Number of suspects beyond which the oldest is removed. It bounds memory when callers
# send many different requests that crash upstreams.
MAX_SUSPECTS = 10_000


class SuspectRecord(msgspec.Struct, frozen=True, array_like=True):
    """A suspect as it is sent to a newly started daemon.

    The remaining time is sent instead of the expiry time because clocks differ between
    instances.

    Attributes
    ----------
    fingerprint : bytes
        Digest that identifies the request.
    count : int
        Number of crashes while the request was running.
    time_left_s : float
        Seconds until the suspect expires.
    """

    fingerprint: bytes
    count: int
    time_left_s: float


class _Suspect:
    __slots__ = ("count", "expires")

    def __init__(self, count, expires):
        self.count = count
        self.expires = expires


class CrashSuspects:
    """Counts crashes by request fingerprint and runs suspects one at a time.

    A suspect is a request that was running when an upstream crashed. It stops being one
    when it succeeds, or some time after its last crash.

    Attributes
    ----------
    by_fingerprint : dict
        Crash count and expiry time of each suspect.
    running : bytes or None
        Fingerprint of the suspect that runs at the local upstream.
    """

    def __init__(self):
        self.by_fingerprint = {}
        self.running = None

    def count(self, fingerprint, now):
        """Return the number of crashes that are recorded for the request."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None:
            return 0
        if now >= suspect.expires:
            del self.by_fingerprint[fingerprint]
            return 0
        return suspect.count

    def refused(self, fingerprint, now, crash_count=0):
        """Return whether the request must not run again.

        ``crash_count`` is the number of crashes that the entry daemon has counted for
        the request. It is part of the `Open` frame, which starts a call.
        """
        return max(crash_count, self.count(fingerprint, now)) >= CRASHES_TO_REFUSE

    def record_crash(self, fingerprint, now):
        """Count a crash that occurred while the request ran; return the new count."""
        count = self.count(fingerprint, now) + 1
        self._store(fingerprint, count, now + SUSPECT_EXPIRY_S, now)
        return count

    def add_report(self, fingerprint, count, now):
        """Merge the count of another daemon; the higher of both counts is kept.

        The time until the suspect expires starts anew.
        """
        known = self.count(fingerprint, now)
        self._store(fingerprint, max(known, count), now + SUSPECT_EXPIRY_S, now)

    def try_start(self, fingerprint, now, crash_count=0):
        """Reserve the upstream for a suspect; return whether the request may run.

        Requests that are not suspects may always run. A suspect may run only while no
        other suspect runs, so that a second crash identifies its cause. A reservation
        must be released by `end`.
        """
        if not max(crash_count, self.count(fingerprint, now)):
            return True
        if self.running is not None:
            return False
        self.running = fingerprint
        return True

    def end(self, fingerprint, succeeded):
        """Release the reservation of a request and, on success, remove the suspect."""
        if self.running == fingerprint:
            self.running = None
        if succeeded:
            self.by_fingerprint.pop(fingerprint, None)

    def expire(self, now):
        """Remove the suspects that have expired."""
        over = [key for key, item in self.by_fingerprint.items() if now >= item.expires]
        for key in over:
            del self.by_fingerprint[key]

    def export(self, now):
        """Return the records that are sent to a new daemon of the service."""
        return [
            SuspectRecord(key, item.count, item.expires - now)
            for key, item in self.by_fingerprint.items()
            if item.expires > now
        ]

    def load(self, records, now):
        """Merge exported records; the higher count and the later expiry are kept."""
        for record in records:
            left_s = min(record.time_left_s, SUSPECT_EXPIRY_S)
            if left_s <= 0:
                continue
            known = self.by_fingerprint.get(record.fingerprint)
            expires = now + left_s
            if known is not None:
                expires = max(expires, known.expires)
            count = max(record.count, self.count(record.fingerprint, now))
            self._store(record.fingerprint, count, expires, now)

    def _store(self, fingerprint, count, expires, now):
        if len(self.by_fingerprint) >= MAX_SUSPECTS:
            self.expire(now)
        if len(self.by_fingerprint) >= MAX_SUSPECTS:
            self.by_fingerprint.pop(next(iter(self.by_fingerprint)))
        self.by_fingerprint[fingerprint] = _Suspect(count, expires)
