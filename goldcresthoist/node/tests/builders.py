"""Builders and fakes for the tests of the platform daemon."""

from goldcresthoist.fleet.messages import MemberRecord
from goldcresthoist.platform import Announcement

__all__ = ["FakeLinks", "make_announcement", "make_record"]


class FakePeer:
    """Stands in for a `PeerLink` that is open."""

    def __init__(self, on_load):
        self.on_load = on_load

    def is_usable(self, now):
        """Return whether calls may be sent."""
        return True


class FakeLinks:
    """Has the methods of `LinkPool` that `FleetServices` uses.

    Attributes
    ----------
    peers : dict
        `FakePeer` by the instance of the peer.
    closed_peers : list of str
        Instances whose link was closed.
    """

    def __init__(self):
        self.peers = {}
        self.closed_peers = []

    def peer(self, member, on_load):
        """Register a callback; a link that is already open keeps its first one."""
        return self.peers.setdefault(member.instance, FakePeer(on_load))

    def close_peer(self, instance):
        """Remove a link and record its instance."""
        self.closed_peers.append(instance)
        self.peers.pop(instance, None)

    def close_when_idle(self, instance):
        """Remove a link that carries no call."""
        self.close_peer(instance)

    def report(self, instance, load):
        """Deliver a load report to the callback of a link."""
        self.peers[instance].on_load(load)


def make_record(ip, service, born_ms=1, domain="a", link_mbit_s=0.0):
    """Return the `MemberRecord` of a daemon."""
    return MemberRecord(ip, f"node-{ip}", domain, "r", service, born_ms, link_mbit_s)


def make_announcement(identity="i-1", sequence=1, **values):
    """Return an `Announcement`; ``values`` replace the defaults."""
    found = {
        "identity": identity,
        "address": "10.0.0.1:8000",
        "service": "ledger",
        "slots": 12,
        "draining": False,
        "sequence": sequence,
        "cold_s": 0.0,
        "born_ms": 1000,
    }
    return Announcement(**(found | values))
