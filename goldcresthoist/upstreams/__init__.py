"""HTTP/1.1 client for the local upstream, which runs on the daemon's own instance.

The client of the platform's store uses its connections, too.
"""

from goldcresthoist.upstreams.connection import UpstreamConnection, UpstreamResponse
from goldcresthoist.upstreams.errors import (
    ConnectionLimitReached,
    UpstreamBroken,
    UpstreamCrashed,
    UpstreamError,
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from goldcresthoist.upstreams.pool import ConnectionPool
from goldcresthoist.upstreams.request_id_connection import (
    REQUEST_ID_FIELD,
    RequestIdConnection,
    make_echoed_id_connection,
)
from goldcresthoist.upstreams.request_writer import RequestWriter, send_remaining_body

__all__ = [
    "ConnectionLimitReached",
    "ConnectionPool",
    "REQUEST_ID_FIELD",
    "RequestIdConnection",
    "RequestWriter",
    "UpstreamResponse",
    "UpstreamBroken",
    "UpstreamConnection",
    "UpstreamCrashed",
    "UpstreamError",
    "UpstreamTimedOut",
    "UpstreamUnreachable",
    "make_echoed_id_connection",
    "send_remaining_body",
]
