"""The members of the fleet that this daemon knows."""

import hashlib

from goldcresthoist.fleet.messages import (
    Announce,
    Departed,
    MemberRecord,
    Roster,
    RosterRequest,
)

__all__ = ["Directory"]

# Records in one datagram, which stays under 1,200 bytes.
ROSTER_CHUNK = 10
DIGEST_BYTES = 8
# Departures kept for the daemons of other instances; the oldest is dropped beyond it.
MOST_DEPARTURES = 2000


class Directory:
    """Members by address, and the departures that they must be reminded of.

    A record that comes later replaces an earlier one of the same address. Nothing but
    that removes a member: one that is gone is not reached by its link and gets no work.

    Parameters
    ----------
    own : MemberRecord
    channel : FleetChannel
    log
        Has ``event(name, **fields)``.

    Attributes
    ----------
    on_member : callable or None
        Called with each new or changed `MemberRecord`.
    on_departure : callable or None
        Called with each `Departed` that is about the own upstream.
    on_knee : callable or None
        Called with the name of each service whose upstreams turn slower when nearly
        full, as the store keeps it.
    """

    def __init__(self, own, channel, log):
        self.own = own
        self.channel = channel
        self.log = log
        self.members = {own.ip: own}
        self.departures = {}
        self.on_member = None
        self.on_departure = None
        self.on_knee = None
        self._ranks = None
        self._digest = None
        channel.handlers[Announce] = lambda message, _: self.learn(message.member)
        channel.handlers[Roster] = self._on_roster
        channel.handlers[RosterRequest] = self._on_request
        channel.handlers[Departed] = lambda message, _: self.learn_departure(message)

    def learn(self, record):
        """Take over a record; return whether it was news."""
        if not isinstance(record, MemberRecord) or record.ip == self.own.ip:
            return False
        known = self.members.get(record.ip)
        if known is not None and known.born_ms >= record.born_ms:
            return False
        self.members[record.ip] = record
        self._ranks = self._digest = None
        changed = known is None or known.service != record.service
        self.log.event(
            "member",
            ip=record.ip,
            service=record.service,
            domain=record.failure_domain,
            known=known is not None,
        )
        if self.on_member is not None and (changed or known != record):
            self.on_member(record)
        return True

    def replace_own(self, record):
        """Take over changed settings of the own daemon."""
        self.own = self.members[record.ip] = record
        self._digest = None

    def learn_departure(self, departed):
        """Remember that an upstream's leaving was acknowledged."""
        self.departures.pop(departed.ip, None)
        self.departures[departed.ip] = departed
        while len(self.departures) > MOST_DEPARTURES:
            self.departures.pop(next(iter(self.departures)))
        if departed.ip == self.own.ip and self.on_departure is not None:
            self.on_departure(departed)

    def learn_knee(self, service):
        """Take over that the upstreams of a service turn slower when nearly full."""
        if self.on_knee is not None:
            self.on_knee(service)

    def tell_service(self, message, service):
        """Send a message to the other daemons of a service."""
        members = self.members.values()
        ips = [item.ip for item in members if item.service == service]
        self.channel.send(message, [ip for ip in ips if ip != self.own.ip])

    def others(self):
        """Return the addresses of the other members."""
        return [ip for ip in self.members if ip != self.own.ip]

    def rank(self, ip):
        """Return the place of a member in an order that all daemons agree on."""
        if self._ranks is None:
            order = sorted(self.members, key=_order)
            self._ranks = {ip: place for place, ip in enumerate(order)}
        return self._ranks.get(ip, len(self._ranks))

    def announce(self, ips=None):
        """Tell other daemons of the own one."""
        self.channel.send(Announce(self.own), self.others() if ips is None else ips)

    def request_roster(self, ips):
        """Ask daemons for the members that they know."""
        self.channel.send(RosterRequest(self.own.ip, self.digest()), ips)

    def digest(self):
        """Return a digest of the members' addresses, services and starts."""
        if self._digest is None:
            known = sorted(
                f"{item.ip} {item.service} {item.born_ms}"
                for item in self.members.values()
            )
            text = "\n".join(known).encode()
            self._digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
        return self._digest

    def depart(self, departed):
        """Remember a departure of the own upstream at every daemon."""
        self.learn_departure(departed)
        self.channel.send(departed, self.others())

    def _on_roster(self, message, _sender):
        for record in message.members:
            self.learn(record)

    def _on_request(self, message, sender):
        if sender != message.ip:
            return
        records = []
        if message.digest != self.digest():
            records = list(self.members.values())
        for start in range(0, len(records), ROSTER_CHUNK):
            chunk = tuple(records[start : start + ROSTER_CHUNK])
            self.channel.send(Roster(chunk), (sender,))
        departed = self.departures.get(sender)
        if departed is not None:
            self.channel.send(departed, (sender,))


def _order(ip):
    return hashlib.blake2b(ip.encode(), digest_size=8).digest()
