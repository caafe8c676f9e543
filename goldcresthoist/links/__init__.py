"""Framed connections between daemons that carry calls."""

from goldcresthoist.links.acceptor import LinkServer
from goldcresthoist.links.calls import CallFailed, IncomingCall, OutgoingCall
from goldcresthoist.links.errors import (
    CorruptFrame,
    LinkClosed,
    LinkError,
    NotAuthenticated,
)
from goldcresthoist.links.local import LocalCall
from goldcresthoist.links.opener import OpenerLink, open_link
from goldcresthoist.links.pool import LinkPool, PeerLink

__all__ = [
    "CallFailed",
    "CorruptFrame",
    "IncomingCall",
    "LinkClosed",
    "LinkError",
    "LinkPool",
    "LinkServer",
    "LocalCall",
    "NotAuthenticated",
    "OpenerLink",
    "OutgoingCall",
    "PeerLink",
    "open_link",
]
