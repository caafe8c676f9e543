"""Membership view of one daemon."""

import asyncio
import hashlib
from dataclasses import dataclass

from goldcresthoist.clock import monotonic
from goldcresthoist.fleet.messages import (
    Departed,
    MemberAnnouncement,
    MemberLeft,
    MemberRecord,
    Roster,
    RosterRequest,
    is_valid,
)

__all__ = ["Directory"]

# A `Roster` with this many records stays under 1,200 bytes.
RECORDS_PER_ROSTER = 10
DIGEST_BYTES = 8
# Interval of the log lines on changed members, and the number of them that one names.
LOG_INTERVAL_S = 1.0
MAX_LOGGED_MEMBERS = 5
# Addresses whose departures are kept, and departures of one address. The oldest are
# dropped beyond these numbers.
MAX_DEPARTED_ADDRESSES = 2000
MAX_DEPARTURES = 8
# Time for which a departure is kept. Announcements of a run that has left may arrive
# seconds late, and a daemon that restarts must not take them for those of a live one.
DEPARTURE_MEMORY_S = 600.0
# Time for which a record of a member that has left is ignored. Old records are still
# under way when it leaves. Afterwards a record may also be one of a successor with a
# clock that is behind.
LEFT_MEMORY_S = 30.0
# Number of daemons that fetch a new configuration from the same daemon first. Fleets of
# up to the second number fetch it from the daemons that watch the store.
FETCH_FANOUT = 16
MAX_DIRECT_MEMBERS = 64


@dataclass(frozen=True, slots=True)
class _LeftMember:
    """A member that has left.

    Its records with a start time of up to ``born_ms`` are ignored until the monotonic
    time ``ignored_until``.
    """

    born_ms: int
    ignored_until: float

    def excludes(self, record, now):
        """Return whether a record is one of the daemon that has left."""
        return record.born_ms <= self.born_ms and now < self.ignored_until


class Directory:
    """The known members and the last departures of each one's upstream.

    A later record of an address replaces the earlier one. A member is removed only when
    its daemon says that it stops for good. One that is gone without a word has no open
    link, so no requests are sent to it.

    Parameters
    ----------
    own : MemberRecord
    channel : FleetChannel
    log
        Has ``event(name, **fields)``.

    Attributes
    ----------
    own : MemberRecord
        Record of this daemon.
    members : dict
        `MemberRecord` by address, including the one of this daemon.
    departures : dict
        By address of the acknowledging daemon, its last `Departed` records, each with
        the monotonic time at which it became known here. That daemon gets them back
        after a restart, and then does not use an upstream that has left.
    left : dict
        `_LeftMember` by address, for members that have left lately.
    unlogged : list of str
        Address and service of the members that changed since the last log line.
    on_member : callable or None
        Called with each new or changed `MemberRecord`.
    on_member_left : callable or None
        Called with the last `MemberRecord` of each member that is removed.
    on_departure : callable or None
        Called with each `Departed` that this daemon acknowledged for the local
        upstream, possibly before a restart.
    on_roster_request : callable or None
        Called with the address of each daemon that requests a roster.
    on_knee : callable or None
        Called with the name of each service that the store lists as having a latency
        knee: its upstreams are slower when almost all of their slots are in use.
    """

    def __init__(self, own, channel, log):
        self.own = own
        self.channel = channel
        self.log = log
        self.members = {own.ip: own}
        self.departures = {}
        self.left = {}
        self.on_member = None
        self.on_member_left = None
        self.on_departure = None
        self.on_roster_request = None
        self.on_knee = None
        self.unlogged = []
        self._ranks = None
        self._digest = None
        channel.handlers[MemberAnnouncement] = lambda message, _: self.merge_record(
            message.member
        )
        channel.handlers[MemberLeft] = self._on_member_left
        channel.handlers[Roster] = self._on_roster
        channel.handlers[RosterRequest] = self._on_roster_request
        channel.handlers[Departed] = lambda message, _: self.add_departure(message)

    async def run(self):
        """Log changes of the members until cancelled."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            self.log_changes()

    def log_changes(self):
        """Log the members that were added or changed, in one line.

        At the start of a fleet, a line for each member would be a line for each pair of
        daemons. Those with the same digest know the same members.
        """
        if self.unlogged:
            self.log.event(
                "members",
                known=len(self.members),
                digest=self.digest().hex(),
                changed=len(self.unlogged),
                some=self.unlogged[:MAX_LOGGED_MEMBERS],
            )
            self.unlogged.clear()

    def merge_record(self, record):
        """Add a record unless one with the same or a later time is known.

        Return whether it was added. A record with the address of this daemon is never
        added, nor is one of a member that has left lately or with impossible values.
        """
        if not isinstance(record, MemberRecord) or record.ip == self.own.ip:
            return False
        if not is_valid(record):
            return False
        known = self.members.get(record.ip)
        if known is not None and known.born_ms >= record.born_ms:
            return False
        left = self.left.get(record.ip)
        if left is not None and left.excludes(record, monotonic()):
            return False
        self.members[record.ip] = record
        self._ranks = self._digest = None
        changed = known is None or known.service != record.service
        self.unlogged.append(f"{record.ip} {record.service}")
        if self.on_member is not None and (changed or known != record):
            self.on_member(record)
        return True

    def has_left(self, record):
        """Return whether a record is the last one of a daemon that has left lately.

        An earlier one may be that of a successor whose clock is behind.
        """
        left = self.left.get(record.ip)
        if left is None or not left.excludes(record, monotonic()):
            return False
        return record.born_ms == left.born_ms

    def replace_own(self, record):
        """Replace the record of this daemon after a change of its settings."""
        self.own = self.members[record.ip] = record
        self._digest = None

    def leave(self):
        """Tell the other daemons that this one stops for good."""
        message = MemberLeft(self.own.ip, self.own.born_ms)
        self.channel.send(message, self.other_addresses())

    def add_departure(self, departed):
        """Store an acknowledged departure.

        Calls ``on_departure`` when it is a departure of the local upstream.
        """
        known = self.departures.pop(departed.ip, {})
        self.departures[departed.ip] = known
        known.setdefault(departed, monotonic())
        while len(known) > MAX_DEPARTURES:
            del known[min(known, key=_departure_time_ms)]
        while len(self.departures) > MAX_DEPARTED_ADDRESSES:
            self.departures.pop(next(iter(self.departures)))
        if departed.ip == self.own.ip and self.on_departure is not None:
            self.on_departure(departed)

    def known_departures(self):
        """Return the `Departed` records of all addresses."""
        return [item for known in self.departures.values() for item in known]

    def expire_departures(self):
        """Forget the departures known for `DEPARTURE_MEMORY_S`, and return them."""
        oldest = monotonic() - DEPARTURE_MEMORY_S
        expired = [
            departed
            for known in self.departures.values()
            for departed, known_since in known.items()
            if known_since < oldest
        ]
        for departed in expired:
            del self.departures[departed.ip][departed]
        return expired

    def notify_knee(self, service):
        """Call ``on_knee`` for a service that has a latency knee."""
        if self.on_knee is not None:
            self.on_knee(service)

    def send_to_service(self, message, service):
        """Send a message to the other daemons of a service."""
        members = self.members.values()
        ips = [item.ip for item in members if item.service == service]
        self.channel.send(message, [ip for ip in ips if ip != self.own.ip])

    def other_addresses(self):
        """Return the addresses of the other members."""
        return [ip for ip in self.members if ip != self.own.ip]

    def rank(self, ip):
        """Return the position of a member, from 0, in an order of all known members.

        The order is the same at all daemons that know the same members. An address that
        is not known comes last.
        """
        if self._ranks is None:
            order = sorted(self.members, key=_rank_key)
            self._ranks = {ip: rank for rank, ip in enumerate(order)}
        return self._ranks.get(ip, len(self._ranks))

    def _order(self):
        """Return the addresses of all members by rank."""
        self.rank(self.own.ip)
        return list(self._ranks)

    def source(self):
        """Return the member from which this one fetches a new configuration first.

        The members form a tree by their ranks, so that each serves few others and a
        version reaches all of them in a number of steps that grows with the logarithm
        of their number. None for the root, and in a small fleet.
        """
        order = self._order()
        rank = self.rank(self.own.ip)
        if not rank or len(order) <= MAX_DIRECT_MEMBERS:
            return None
        return order[(rank - 1) // FETCH_FANOUT]

    def dependents(self):
        """Return the members whose `source` is this one."""
        order = self._order()
        if len(order) <= MAX_DIRECT_MEMBERS:
            return []
        first = self.rank(self.own.ip) * FETCH_FANOUT + 1
        return order[first : first + FETCH_FANOUT]

    def announce(self, ips=None):
        """Send this daemon's record to these addresses, by default to all others."""
        self.channel.send(
            MemberAnnouncement(self.own), self.other_addresses() if ips is None else ips
        )

    def request_roster(self, ips, members=True):
        """Request from these daemons the last departures of the local upstream.

        With ``members``, also request the members that they know.
        """
        request = RosterRequest(self.own.ip, self.digest(), members)
        self.channel.send(request, ips)

    def digest(self):
        """Return a digest of the members' addresses, services and start times."""
        if self._digest is None:
            known = sorted(
                f"{item.ip} {item.service} {item.born_ms}"
                for item in self.members.values()
            )
            text = "\n".join(known).encode()
            self._digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
        return self._digest

    def depart(self, departed):
        """Store a departure of the local upstream and send it to all others."""
        self.add_departure(departed)
        self.send_departure(departed)

    def send_departure(self, departed):
        """Send a departure of the local upstream to all others."""
        self.channel.send(departed, self.other_addresses())

    def _on_member_left(self, message, sender):
        if sender != message.ip or message.ip == self.own.ip:
            return
        now = monotonic()
        self.left = {
            ip: item for ip, item in self.left.items() if item.ignored_until > now
        }
        self.left[message.ip] = _LeftMember(message.born_ms, now + LEFT_MEMORY_S)
        record = self.members.get(message.ip)
        if record is None or record.born_ms > message.born_ms:
            return
        del self.members[message.ip]
        self._ranks = self._digest = None
        self.unlogged.append(f"{message.ip} left")
        if self.on_member_left is not None:
            self.on_member_left(record)

    def _on_roster(self, message, _sender):
        for record in message.members:
            self.merge_record(record)

    def _on_roster_request(self, message, sender):
        if sender != message.ip:
            return
        records = []
        if message.members and message.digest != self.digest():
            records = list(self.members.values())
        for start in range(0, len(records), RECORDS_PER_ROSTER):
            chunk = tuple(records[start : start + RECORDS_PER_ROSTER])
            self.channel.send(Roster(chunk), (sender,))
        for departed in self.departures.get(sender, ()):
            self.channel.send(departed, (sender,))
        if self.on_roster_request is not None:
            self.on_roster_request(sender)


def _departure_time_ms(departed):
    """Return a time that orders the departures of one address."""
    return max(departed.born_ms, departed.before_ms)


def _rank_key(ip):
    return hashlib.blake2b(ip.encode(), digest_size=8).digest()
