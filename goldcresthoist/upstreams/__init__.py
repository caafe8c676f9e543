"""HTTP/1.1 client for the upstream on the daemon's own instance."""

from goldcresthoist.upstreams.client import RequestWriter, send_rest
from goldcresthoist.upstreams.connection import UpstreamAnswer, UpstreamConnection
from goldcresthoist.upstreams.errors import (
    UpstreamBroken,
    UpstreamCrashed,
    UpstreamError,
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from goldcresthoist.upstreams.identified import IdentifiedConnection
from goldcresthoist.upstreams.pool import ConnectionPool

__all__ = [
    "ConnectionPool",
    "IdentifiedConnection",
    "RequestWriter",
    "UpstreamAnswer",
    "UpstreamBroken",
    "UpstreamConnection",
    "UpstreamCrashed",
    "UpstreamError",
    "UpstreamTimedOut",
    "UpstreamUnreachable",
    "send_rest",
]
