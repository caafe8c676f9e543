"""Messages of the control services.

Every request contains the receiver's instance and a nonce that the reply repeats. A
recorded request is therefore rejected by other daemons, and a recorded reply is not
accepted for another request.

The structs are encoded as arrays, so the order of the fields is part of the protocol.
"""

import msgspec

from goldcresthoist.gossip.member import Member
from goldcresthoist.gossip.messages import Version

__all__ = [
    "Content",
    "CountReply",
    "CountRequest",
    "CrashSuspect",
    "EntriesReply",
    "EntriesRequest",
    "FetchReply",
    "FetchRequest",
    "PrepareReply",
    "PrepareRequest",
    "PushReply",
    "PushRequest",
    "Reply",
    "Request",
    "SuspectsReply",
    "SuspectsRequest",
    "SyncReply",
    "SyncRequest",
    "VersionsReply",
    "VersionsRequest",
]


class Request(msgspec.Struct, frozen=True, array_like=True):
    """Fields at the start of each request: instance of the receiver, and nonce."""

    to: str
    nonce: int


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """Field at the start of each reply: nonce of the request."""

    nonce: int


class SyncRequest(Request, frozen=True, array_like=True):
    """Starts a member sync with the instance, domain and digests of the sender."""

    instance: str
    domain: str
    digests: bytes


class SyncReply(Reply, frozen=True, array_like=True):
    """Numbers of the buckets that differ.

    ``busy`` is true, and ``buckets`` empty, while a sync with another peer runs.
    """

    buckets: bytes
    busy: bool = False


class EntriesRequest(Request, frozen=True, array_like=True):
    """States of all members that the sender has in some buckets."""

    instance: str
    domain: str
    buckets: bytes
    entries: bytes


class EntriesReply(Reply, frozen=True, array_like=True):
    """Differences found by the receiver of an `EntriesRequest`.

    ``states`` are for members whose record the requester has, ``members`` are the
    zlib-compressed records of others, and ``wanted`` are the keys of members whose
    record the requester is to push.
    """

    states: bytes
    members: bytes
    wanted: tuple[int, ...]


class PushRequest(Request, frozen=True, array_like=True):
    """Members that the receiver requested with ``wanted`` in an `EntriesReply`."""

    members: tuple[Member, ...]


class PushReply(Reply, frozen=True, array_like=True):
    """Acknowledges a `PushRequest`."""


class VersionsRequest(Request, frozen=True, array_like=True):
    """Requests the versions in the buckets whose digests differ."""

    digests: bytes


class VersionsReply(Reply, frozen=True, array_like=True):
    """Versions in force at the sender of the reply."""

    versions: tuple[Version, ...]


class Content(msgspec.Struct, frozen=True, array_like=True):
    """The encoded content of a configuration version."""

    team: str
    version: int
    digest: bytes
    content: bytes


class FetchRequest(Request, frozen=True, array_like=True):
    """Requests the content in force of some teams."""

    teams: tuple[str, ...]


class FetchReply(Reply, frozen=True, array_like=True):
    """Content of the first requested teams, as many as fit the limit of a reply."""

    items: tuple[Content, ...]


class PrepareRequest(Request, frozen=True, array_like=True):
    """Content of a candidate, sent before it is written to the table."""

    team: str
    version: int
    content: bytes


class PrepareReply(Reply, frozen=True, array_like=True):
    """Whether the candidate can be put in force, with the reason if it cannot."""

    accepted: bool
    reason: str = ""


class CountRequest(Request, frozen=True, array_like=True):
    """Requests the number of daemons with a version in force in the receiver's domain.

    ``limit_s`` is the time limit of the count.
    """

    team: str
    version: int
    limit_s: float


class CountReply(Reply, frozen=True, array_like=True):
    """Daemons of one failure domain that have, lack, or did not report a version.

    ``behind`` daemons have an older version, ``silent`` daemons did not answer.
    """

    domain: str
    in_force: int
    behind: int
    silent: int


class CrashSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that is suspected to crash upstreams.

    ``count`` is the number of crashes and ``age_s`` the time since the last one.
    """

    fingerprint: bytes
    count: int
    age_s: float


class SuspectsRequest(Request, frozen=True, array_like=True):
    """Requests the crash suspects of a daemon of the same service."""


class SuspectsReply(Reply, frozen=True, array_like=True):
    """The crash suspects of the sender of the reply."""

    suspects: tuple[CrashSuspect, ...]
