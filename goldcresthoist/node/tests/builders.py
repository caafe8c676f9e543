"""Builders for the tests of the daemon on the platform."""

from goldcresthoist.fleet.messages import MemberRecord
from goldcresthoist.platform import Announcement

__all__ = ["FakeLinks", "make_announcement", "make_record"]


class FakeLinks:
    """Has the interface of `LinkPool` that the services use."""

    def __init__(self):
        self.peers = {}
        self.dropped = []

    def peer(self, member, on_load):
        """Keep the first callback, as a link that stays open does."""
        return self.peers.setdefault(member.instance, on_load)

    def drop(self, instance):
        """Forget a link."""
        self.dropped.append(instance)
        self.peers.pop(instance, None)

    def report(self, instance, load):
        """Deliver a load report as the link would."""
        self.peers[instance](load)


def make_record(ip, service, born_ms=1, domain="a"):
    """Return a member."""
    return MemberRecord(ip, f"node-{ip}", domain, "r", service, born_ms)


def make_announcement(identity="i-1", sequence=1, **values):
    """Return what an upstream says of itself."""
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
