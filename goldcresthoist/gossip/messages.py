"""Messages of gossip and their encoding."""

import hashlib
import struct
import zlib
from typing import NamedTuple

import msgspec

from goldcresthoist.gossip.member import Member

__all__ = [
    "STATE_UPDATE",
    "Ack",
    "Gossip",
    "IndirectProbe",
    "Join",
    "JoinReply",
    "MemberRecord",
    "Packet",
    "Probe",
    "SequenceBehind",
    "StateUpdate",
    "Version",
    "VersionAnnouncements",
    "VersionAnswer",
    "VersionQuery",
    "VersionSummary",
    "key_of",
]

# key, record check, incarnation, state
STATE_UPDATE = struct.Struct(">QIQB")


class StateUpdate(NamedTuple):
    """State of a member whose record the receiver already holds."""

    key: int
    check: int
    incarnation: int
    state: int

    def pack(self):
        """Return the 21 bytes that stand for this update on the wire."""
        return STATE_UPDATE.pack(*self)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The part of a member that stays the same until its daemon starts again."""

    instance: str
    service: str
    failure_domain: str
    region: str
    gossip_address: str
    link_address: str
    control_address: str

    @classmethod
    def from_member(cls, member):
        """Take the record out of a member."""
        return cls(
            member.instance,
            member.service,
            member.failure_domain,
            member.region,
            member.gossip_address,
            member.link_address,
            member.control_address,
        )

    def encode(self):
        """Return the encoded record and its check value."""
        data = _ENCODER.encode(self)
        return data, zlib.crc32(data)

    def with_state(self, incarnation, state):
        """Return the member that this record and state describe."""
        return Member(
            self.instance,
            incarnation,
            self.service,
            self.failure_domain,
            self.region,
            self.gossip_address,
            self.link_address,
            self.control_address,
            state,
        )


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A team's configuration version and the digest of its content."""

    team: str
    version: int
    digest: bytes


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks the member with the key ``target`` for an `Ack`.

    Without it, a new daemon at the address of one that ended would answer for it.
    """

    nonce: int
    target: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a `Probe`. ``unknown`` says that the prober's record is not held."""

    nonce: int
    unknown: bool = False


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to probe a third daemon and to forward its answer."""

    nonce: int
    target: int
    address: str


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Carries updates only."""


class Join(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks for members, from position ``cursor`` of the receiver's table."""

    nonce: int
    cursor: int


class JoinReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answers `Join` with members; ``cursor`` is -1 after the last one."""

    nonce: int
    cursor: int


class SequenceBehind(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Tells a daemon that its sequence number is behind the one remembered."""

    highest: int


class VersionAnnouncements(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Configuration versions in force at the sender.

    ``more`` says that the datagram had no room for all that differ.
    """

    versions: tuple[Version, ...]
    more: bool = False


class VersionSummary(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The sender's version digests by bucket; answered by `VersionAnnouncements`."""

    digests: bytes


class VersionQuery(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks which version of a team's configuration is in force."""

    nonce: int
    team: str


class VersionAnswer(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Answers `VersionQuery`; version 0 stands for none."""

    nonce: int
    version: int


Message = (
    Probe
    | Ack
    | IndirectProbe
    | Gossip
    | Join
    | JoinReply
    | SequenceBehind
    | VersionAnnouncements
    | VersionSummary
    | VersionQuery
    | VersionAnswer
)


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """Content of one datagram.

    The sender's own state and digests are in every datagram, so each exchange is
    direct evidence of the sender and shows whether the two daemons' tables differ.
    """

    sender: str
    sequence: int
    incarnation: int
    state: int
    check: int
    live: int
    member_digest: int
    version_digest: int
    message: Message
    states: bytes
    members: tuple[msgspec.Raw, ...]


def key_of(instance):
    """Return the 64-bit key that stands for an instance name."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=8).digest())


_ENCODER = msgspec.msgpack.Encoder()
