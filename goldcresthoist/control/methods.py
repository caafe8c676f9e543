"""The methods of the control services and their message types."""

from dataclasses import dataclass

from goldcresthoist.control import messages as m

__all__ = [
    "COUNT",
    "ENTRIES",
    "FETCH",
    "METHODS",
    "PREPARE",
    "PUSH",
    "SUSPECTS",
    "SYNC",
    "VERSIONS",
    "Method",
]


@dataclass(frozen=True, slots=True)
class Method:
    """A unary gRPC method: its path and message types."""

    path: str
    request_type: type
    reply_type: type


SYNC = Method("/goldcresthoist.Members/Sync", m.SyncRequest, m.SyncReply)
ENTRIES = Method("/goldcresthoist.Members/Entries", m.EntriesRequest, m.EntriesReply)
PUSH = Method("/goldcresthoist.Members/Push", m.PushRequest, m.PushReply)
SUSPECTS = Method(
    "/goldcresthoist.Members/Suspects", m.SuspectsRequest, m.SuspectsReply
)
VERSIONS = Method(
    "/goldcresthoist.Configuration/Versions", m.VersionsRequest, m.VersionsReply
)
FETCH = Method("/goldcresthoist.Configuration/Fetch", m.FetchRequest, m.FetchReply)
PREPARE = Method(
    "/goldcresthoist.Configuration/Prepare", m.PrepareRequest, m.PrepareReply
)
COUNT = Method("/goldcresthoist.Configuration/Count", m.CountRequest, m.CountReply)

METHODS = (SYNC, ENTRIES, PUSH, SUSPECTS, VERSIONS, FETCH, PREPARE, COUNT)
