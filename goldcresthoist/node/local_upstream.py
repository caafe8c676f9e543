"""Which run of the upstream stands beside this daemon."""

import enum

__all__ = ["AnnouncementResult", "LocalUpstream"]

# An upstream that has said nothing for this long may be replaced by one that tells no
# later start; it announces itself every 1.5 s.
ANNOUNCEMENT_TIMEOUT_S = 4.0
MAX_DEPARTED_RUNS = 64


class AnnouncementResult(enum.Enum):
    """What became of an announcement."""

    NEW = "new"
    KNOWN = "known"
    DRAINING = "draining"
    STALE = "stale"
    DEPARTED = "departed"
    FOREIGN = "foreign"


class LocalUpstream:
    """The newest run of the upstream, by what it announces.

    Announcements may be late, repeated, forged or from an earlier run. Calls are sent
    only to the identity that is known here, and never to one whose leaving was
    acknowledged.

    Parameters
    ----------
    address, service : str
        What the settings say of the upstream.
    """

    def __init__(self, address, service):
        self.address = address
        self.service = service
        self.identity = None
        self.born_ms = 0
        self.sequence = -1
        self.slots = 1
        self.warm_up_until = 0.0
        self.last_announced_at = float("-inf")
        # Runs whose leaving was acknowledged, oldest first.
        self.departed = {}
        # Times in Unix ms before which all runs of an identity have departed.
        self.departed_before = {}
        # The run that another upstream at the address denied to be.
        self.rejected_run = None
        self.leaving = False

    def usable(self):
        """Return whether calls may be sent."""
        return (
            self.identity is not None and not self.leaving and self.rejected_run is None
        )

    def apply_announcement(self, announcement, now):
        """Take over an announcement; return a `AnnouncementResult`."""
        if announcement.address != self.address or announcement.service != self.service:
            return AnnouncementResult.FOREIGN
        run = (announcement.identity, announcement.born_ms)
        known = (self.identity, self.born_ms)
        if run in self.departed or self._departed_before(announcement):
            if run == known:
                self.leaving = True
                self.last_announced_at = now
            return AnnouncementResult.DEPARTED
        if run != known and not self._supersedes(announcement, now):
            return AnnouncementResult.STALE
        if run == known and announcement.sequence <= self.sequence:
            return AnnouncementResult.STALE
        self._store(announcement, now)
        if announcement.draining:
            self.leaving = True
            return AnnouncementResult.DRAINING
        if run != known or self.rejected_run is not None:
            self.rejected_run = None
            return AnnouncementResult.NEW
        return AnnouncementResult.KNOWN

    def mark_departed(self, identity, born_ms=0, now_ms=0):
        """Never send another call to this run.

        Parameters
        ----------
        identity : str
        born_ms : int
            Its start in Unix milliseconds; 0 when that was not said.
        now_ms : int
            The time of the departure. Where the start is not known here either, every
            run of the identity that started before has departed.

        Returns
        -------
        born_ms, before_ms : int
            The start of the run, else the time before which all runs have departed;
            the other is 0.
        """
        if not born_ms and identity == self.identity:
            born_ms = self.born_ms
        if not born_ms:
            self.departed_before[identity] = now_ms
            while len(self.departed_before) > MAX_DEPARTED_RUNS:
                self.departed_before.pop(next(iter(self.departed_before)))
            return 0, now_ms
        self.departed[(identity, born_ms)] = True
        while len(self.departed) > MAX_DEPARTED_RUNS:
            self.departed.pop(next(iter(self.departed)))
        if (identity, born_ms) == (self.identity, self.born_ms):
            self.leaving = True
        return born_ms, 0

    def reject_identity(self):
        """Note that the upstream at the address is another one than is known."""
        self.rejected_run = (self.identity, self.born_ms)

    def is_warming_up(self, now):
        """Return whether the upstream is still slow after its start."""
        return now < self.warm_up_until

    def _departed_before(self, announcement):
        before_ms = self.departed_before.get(announcement.identity, -1)
        return announcement.born_ms <= before_ms

    def _supersedes(self, announcement, now):
        if self.identity is None:
            return True
        if announcement.born_ms != self.born_ms:
            return announcement.born_ms > self.born_ms
        silent = now - self.last_announced_at > ANNOUNCEMENT_TIMEOUT_S
        return self.leaving or self.rejected_run is not None or silent

    def _store(self, announcement, now):
        if (announcement.identity, announcement.born_ms) != (
            self.identity,
            self.born_ms,
        ):
            self.leaving = False
        self.identity = announcement.identity
        self.born_ms = announcement.born_ms
        self.sequence = announcement.sequence
        self.slots = announcement.slots
        self.warm_up_until = now + announcement.cold_s
        self.last_announced_at = now
