"""Identity and state of the local upstream: the process on this daemon's instance."""

import enum

__all__ = ["AnnouncementResult", "LocalUpstream"]

# The local upstream announces itself every 1.5 s. When the current run has sent no
# announcement for this long, a run with another identity and the same start time may
# replace it.
ANNOUNCEMENT_TIMEOUT_S = 4.0
# An unconfirmed run may get calls when it announces itself again this long after its
# first announcement. Announcements of a run that has left may still arrive, but seldom
# that late.
CONFIRMATION_S = 2.5
# Largest number of departed runs that are kept, and separately of identities with a
# departure that gave no start time. The oldest entries are removed first.
MAX_DEPARTED_RUNS = 64


class AnnouncementResult(enum.Enum):
    """Effect of an announcement on the state of the local upstream.

    The values are the ``outcome`` labels in the metrics and in the log.

    Attributes
    ----------
    NEW
        Calls may now be sent to another run, or again after a rejected identity.
    KNOWN
        The announcement continues the current run.
    DRAINING
        The upstream refuses further calls; its departure is to be acknowledged.
    STALE
        The announcement is older than the current state and was ignored.
    DEPARTED
        The announcement is from a run that has departed and was ignored.
    FOREIGN
        The announcement is from an upstream of another address or service and was
        ignored.
    """

    NEW = "new"
    KNOWN = "known"
    DRAINING = "draining"
    STALE = "stale"
    DEPARTED = "departed"
    FOREIGN = "foreign"


class LocalUpstream:
    """Tracks the current run of the local upstream from its announcements.

    A run is one process of the upstream, identified by its identity and start time.
    Announcements may arrive late, more than once, from an earlier run or with a forged
    identity. Calls are addressed to the identity recorded here, and never to a run
    whose departure has been acknowledged.

    Parameters
    ----------
    address, service : str
        Address and service of the local upstream as configured in the settings.
        Announcements with other values are rejected.
    started_ms : int
        Unix milliseconds at which this daemon started; 0 if it is the first process on
        its instance. Departures of runs that started before may be unknown, since an
        earlier process may have acknowledged them when neither the store nor another
        daemon could be reached.

    Attributes
    ----------
    identity : str or None
        Identity of the current run; None before the first announcement.
    born_ms : int
        Start time of the current run in Unix milliseconds; 0 when the upstream does not
        give it.
    sequence : int
        Number of the last announcement of the current run.
    slots : int
        Largest number of calls that the upstream runs at the same time.
    warm_up_until : float
        Monotonic time in seconds until which the upstream is slower than usual.
    last_announced_at : float
        Monotonic time in seconds of the last announcement of the current run.
    leaving : bool
        Whether the current run drains or has departed.
    discovered : bool
        Whether the current run is known from a health check only, which does not give
        its start time.
    unconfirmed : bool
        Whether the current run may have departed before this daemon started. It gets
        calls once its health check or a later announcement shows that it has not.
    """

    def __init__(self, address, service, started_ms=0):
        self.address = address
        self.service = service
        self.started_ms = started_ms
        self.identity = None
        self.born_ms = 0
        self.sequence = -1
        self.slots = 1
        self.warm_up_until = 0.0
        self.last_announced_at = float("-inf")
        self.unconfirmed = False
        self.unconfirmed_since = float("-inf")
        # Keys are the runs, as (identity, born_ms), whose departure has been
        # acknowledged, oldest first. All values are True.
        self.departed = {}
        # Time of the departure in Unix milliseconds, by identity, for departures that
        # gave no start time. All runs of the identity that started up to this time have
        # departed.
        self.departed_before_ms = {}
        # The run, as (identity, born_ms), that was current when the process at the
        # address responded that it has another identity. None after the next valid
        # announcement; until then no calls are sent.
        self.rejected_run = None
        self.leaving = False
        self.discovered = False

    def usable(self):
        """Return whether calls may be sent to the local upstream."""
        return (
            self.identity is not None
            and not self.leaving
            and not self.unconfirmed
            and self.rejected_run is None
        )

    def apply_announcement(self, announcement, now):
        """Update the state from an `Announcement`; return an `AnnouncementResult`.

        ``now`` is in monotonic seconds.
        """
        if announcement.address != self.address or announcement.service != self.service:
            return AnnouncementResult.FOREIGN
        run = (announcement.identity, announcement.born_ms)
        self.complete_discovery(*run)
        known = (self.identity, self.born_ms)
        if run in self.departed or self._started_before_departure(announcement):
            if run == known:
                self.leaving = True
                self.last_announced_at = now
            return AnnouncementResult.DEPARTED
        is_late = run == known and announcement.sequence <= self.sequence
        if is_late or (run != known and not self._supersedes(announcement, now)):
            if not announcement.draining or not announcement.born_ms:
                return AnnouncementResult.STALE
            # A run that drains never becomes ready again, however late it says so.
            self.leaving |= run == known
            return AnnouncementResult.DRAINING
        self._store(announcement, now)
        if announcement.draining:
            self.leaving = True
            return AnnouncementResult.DRAINING
        confirmed = self.unconfirmed and now - self.unconfirmed_since >= CONFIRMATION_S
        if confirmed:
            self.unconfirmed = False
        if run != known or confirmed or self.rejected_run is not None:
            self.rejected_run = None
            return AnnouncementResult.NEW
        return AnnouncementResult.KNOWN

    def confirm(self, identity):
        """Let an unconfirmed run get calls, as its health check is good.

        ``identity`` is that in the response. Return whether it is the current one.
        """
        if not self.unconfirmed or identity != self.identity:
            return False
        self.unconfirmed = False
        return True

    def discover(self, identity, slots):
        """Store an identity that a health check gave; return whether it is accepted.

        It is not when a run is known already, or when any run of the identity has
        departed. The start time is unknown until the first announcement.
        """
        departed = identity in self.departed_before_ms or any(
            identity == run[0] for run in self.departed
        )
        if self.identity is not None or departed:
            return False
        self.identity = identity
        self.slots = slots
        self.discovered = True
        return True

    def complete_discovery(self, identity, born_ms):
        """Take the start time of a discovered run from what it says of itself.

        If another identity says something, that of the health check is discarded.
        """
        if not self.discovered:
            return
        self.discovered = False
        if identity == self.identity:
            self.born_ms = born_ms
        else:
            self.identity = None

    def mark_departed(self, identity, born_ms=0, now_ms=0):
        """Exclude a run from all further calls.

        Parameters
        ----------
        identity : str
        born_ms : int
            Start time of the run in Unix milliseconds; 0 when it was not given. It is
            then taken from the current run if that has the same identity.
        now_ms : int
            Time of the departure in Unix milliseconds. If the start time is unknown,
            every run of the identity that started up to this time counts as departed.

        Returns
        -------
        born_ms, before_ms : int
            Either the start time of the departed run and 0, or 0 and the time up to
            which all runs of the identity have departed.
        """
        if not born_ms and identity == self.identity:
            born_ms = self.born_ms
        departure = (born_ms, 0) if born_ms else (0, now_ms)
        self.restore_departure(identity, *departure)
        if identity == self.identity and not born_ms:
            # The clock may have been set back since the current run started.
            self.leaving = True
        return departure

    def restore_departure(self, identity, born_ms, before_ms):
        """Exclude a run whose departure an earlier process of this daemon acknowledged.

        The parameters are the result of `mark_departed` in that process. A run of the
        same identity that started later is not excluded. Whether that is the case is
        not known of a discovered run, so it gets no calls until it announces itself.
        """
        if self.discovered and identity == self.identity:
            self.discovered = False
            self.identity = None
        if born_ms:
            self.departed[(identity, born_ms)] = True
            is_current = born_ms == self.born_ms
        else:
            known_ms = self.departed_before_ms.pop(identity, 0)
            self.departed_before_ms[identity] = max(known_ms, before_ms)
            is_current = self.born_ms <= before_ms
        if identity == self.identity and is_current:
            self.leaving = True
        for departures in (self.departed, self.departed_before_ms):
            while len(departures) > MAX_DEPARTED_RUNS:
                departures.pop(next(iter(departures)))

    def reject_identity(self):
        """Stop calls because the process at the address has another identity."""
        self.rejected_run = (self.identity, self.born_ms)

    def is_warming_up(self, now):
        """Return whether the upstream is still slower than usual after its start."""
        return now < self.warm_up_until

    def _started_before_departure(self, announcement):
        if not announcement.born_ms and any(
            announcement.identity == run[0] for run in self.departed
        ):
            # Without a start time, nothing shows that it started after the departure.
            return True
        before_ms = self.departed_before_ms.get(announcement.identity, -1)
        return announcement.born_ms <= before_ms

    def _supersedes(self, announcement, now):
        if self.identity is None or announcement.born_ms > self.born_ms:
            return True
        silent = now - self.last_announced_at > ANNOUNCEMENT_TIMEOUT_S
        if announcement.born_ms < self.born_ms:
            # The clock of the instance was set back, or another program has sent an
            # announcement in the name of the upstream.
            return silent and not self.leaving
        return self.leaving or self.rejected_run is not None or silent

    def _store(self, announcement, now):
        if (announcement.identity, announcement.born_ms) != (
            self.identity,
            self.born_ms,
        ):
            self.leaving = False
            self.unconfirmed = announcement.born_ms < self.started_ms
            self.unconfirmed_since = now
        self.identity = announcement.identity
        self.born_ms = announcement.born_ms
        self.sequence = announcement.sequence
        self.slots = announcement.slots
        self.warm_up_until = now + announcement.cold_s
        self.last_announced_at = now
