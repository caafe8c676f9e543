"""Multiplexed, authenticated connections between daemons, called links.

The entry daemon accepts a request from a caller. It opens a link to the serving daemon,
which runs beside the chosen upstream, and sends the request over it as a call. One link
carries many concurrent calls.
"""

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
