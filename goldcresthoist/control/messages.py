"""Messages of the control services.

Every request names its receiver and carries a nonce that the reply repeats, so a
recorded message is of no use at another daemon or as the answer to another request.
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
    """First fields of each request."""

    to: str
    nonce: int


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """First field of each reply."""

    nonce: int


class SyncRequest(Request, frozen=True, array_like=True):
    """Opens a member sync: instance, domain and bucket digests of the sender."""

    instance: str
    domain: str
    digests: bytes


class SyncReply(Reply, frozen=True, array_like=True):
    """Numbers of the buckets that differ; ``busy`` when another sync runs."""

    buckets: bytes
    busy: bool = False


class EntriesRequest(Request, frozen=True, array_like=True):
    """States of all members in some buckets."""

    instance: str
    domain: str
    buckets: bytes
    entries: bytes


class EntriesReply(Reply, frozen=True, array_like=True):
    """What differs: states, zlib-compressed members, and keys of unknown members."""

    states: bytes
    members: bytes
    wanted: tuple[int, ...]


class PushRequest(Request, frozen=True, array_like=True):
    """Members that the receiver asked for."""

    members: tuple[Member, ...]


class PushReply(Reply, frozen=True, array_like=True):
    """Confirms a `PushRequest`."""


class VersionsRequest(Request, frozen=True, array_like=True):
    """Asks for the versions in the buckets whose digests differ."""

    digests: bytes


class VersionsReply(Reply, frozen=True, array_like=True):
    """Versions in force at the sender."""

    versions: tuple[Version, ...]


class Content(msgspec.Struct, frozen=True, array_like=True):
    """The stored bytes of a configuration version."""

    team: str
    version: int
    digest: bytes
    content: bytes


class FetchRequest(Request, frozen=True, array_like=True):
    """Asks for the content in force of some teams."""

    teams: tuple[str, ...]


class FetchReply(Reply, frozen=True, array_like=True):
    """Content of the first of the teams asked for, as many as one reply holds."""

    items: tuple[Content, ...]


class PrepareRequest(Request, frozen=True, array_like=True):
    """A candidate that is about to be accepted."""

    team: str
    version: int
    content: bytes


class PrepareReply(Reply, frozen=True, array_like=True):
    """Whether the candidate can be put in force; ``reason`` says why not."""

    accepted: bool
    reason: str = ""


class CountRequest(Request, frozen=True, array_like=True):
    """Asks how many daemons of the receiver's domain have a version in force."""

    team: str
    version: int
    limit_s: float


class CountReply(Reply, frozen=True, array_like=True):
    """Daemons of one failure domain by what they answered."""

    domain: str
    in_force: int
    behind: int
    silent: int


class CrashSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that crashed upstreams. ``age_s`` is the time since the last crash."""

    fingerprint: bytes
    count: int
    age_s: float


class SuspectsRequest(Request, frozen=True, array_like=True):
    """Asks a daemon of the same service for its crash suspects."""


class SuspectsReply(Reply, frozen=True, array_like=True):
    """The crash suspects known to the sender."""

    suspects: tuple[CrashSuspect, ...]
