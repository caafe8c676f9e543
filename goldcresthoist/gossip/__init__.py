"""Membership of daemons by gossip over UDP."""

from goldcresthoist.gossip.errors import GossipError
from goldcresthoist.gossip.member import Member, MemberState
from goldcresthoist.gossip.membership import Membership
from goldcresthoist.gossip.messages import Version
from goldcresthoist.gossip.options import GossipOptions
from goldcresthoist.gossip.roster import DomainCount

__all__ = [
    "DomainCount",
    "GossipError",
    "GossipOptions",
    "Member",
    "MemberState",
    "Membership",
    "Version",
]
