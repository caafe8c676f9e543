"""Messages of the gossip protocol and their encoding."""

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

# Key, CRC-32 of the record, incarnation, state.
STATE_UPDATE = struct.Struct(">QIQB")


class StateUpdate(NamedTuple):
    """State of a member whose record the receiver already holds.

    ``check`` is the CRC-32 of that record.
    """

    key: int
    check: int
    incarnation: int
    state: int

    def pack(self):
        """Return the encoded update, which has 21 bytes."""
        return STATE_UPDATE.pack(*self)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The attributes of a member that do not change until its daemon restarts."""

    instance: str
    service: str
    failure_domain: str
    region: str
    gossip_address: str
    link_address: str
    control_address: str

    @classmethod
    def from_member(cls, member):
        """Return the record of a member."""
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
        """Return the encoded record and its CRC-32."""
        data = _ENCODER.encode(self)
        return data, zlib.crc32(data)

    def with_state(self, incarnation, state):
        """Return the member with this record and the given state."""
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

    Without ``target``, a new daemon that reuses the address of a stopped one would
    answer probes that are meant for the stopped one.
    """

    nonce: int
    target: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a `Probe`.

    ``unknown`` is true if the prober is not in the sender's roster.
    """

    nonce: int
    unknown: bool = False


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to probe a third daemon and to forward its `Ack`."""

    nonce: int
    target: int
    address: str


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Has no content of its own; the packet only carries updates."""


class Join(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Asks for a page of members, from position ``cursor`` among the live members."""

    nonce: int
    cursor: int


class JoinReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Answers `Join` with a page of members.

    ``cursor`` is the start of the next page, or -1 after the last one.
    """

    nonce: int
    cursor: int


class SequenceBehind(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Reports the highest sequence number received from the receiver.

    Sent when the receiver's own sequence number is too far behind it.
    """

    highest: int


class VersionAnnouncements(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Configuration versions in force at the sender.

    ``more`` is true if the datagram has no room for all versions that differ.
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
    """Answers `VersionQuery`; version 0 means that none is in force."""

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

    Every datagram contains the sender's state and digests. It is therefore direct
    evidence that the sender is alive, and shows whether the two daemons' members or
    configuration versions differ.

    ``check`` is the CRC-32 of the sender's record and ``live`` the number of live
    members in its view, itself included. ``states`` are packed `StateUpdate` items,
    ``members`` encoded `Member` items.
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
    """Return the 64-bit hash that identifies an instance in updates and digests."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=8).digest())


_ENCODER = msgspec.msgpack.Encoder()
