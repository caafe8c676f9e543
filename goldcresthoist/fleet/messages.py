"""Datagrams between the daemons of a fleet, and the rows they keep in the store."""

import msgspec

__all__ = [
    "Announce",
    "Beacon",
    "Departed",
    "KneeVerdict",
    "MemberRecord",
    "Renew",
    "Roster",
    "RosterRequest",
    "SuspectNotice",
    "decode_record",
    "encode_record",
]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """One daemon: what others need to call it.

    ``born_ms`` is when its process started, in Unix milliseconds; of two records of one
    address the later one holds.
    """

    ip: str
    instance: str
    failure_domain: str
    region: str
    service: str
    born_ms: int


class Beacon(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The configuration version of a daemon that follows the store.

    ``age_ms`` is how long ago the store said that it is the newest one; -1 when it
    never did.
    """

    ip: str
    version: int
    age_ms: int


class Announce(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The sender, or a member that the sender has found."""

    member: MemberRecord


class RosterRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks for the members that the receiver knows, and for the asker's departures.

    ``digest`` is that of the members that the asker knows; a receiver that knows the
    same ones names none.
    """

    ip: str
    digest: bytes = b""


class Roster(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Some of the members that the sender knows."""

    members: tuple[MemberRecord, ...]


class Departed(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An upstream whose leaving was acknowledged by the daemon beside it.

    Where ``born_ms`` is 0, all runs of the identity up to ``before_ms`` have left.
    """

    ip: str
    identity: str
    born_ms: int
    before_ms: int = 0


class Renew(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The receiver's row is missing in the store."""


class SuspectNotice(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A request that was running when an upstream crashed, ``count`` times so far.

    A count of 0 says that it has run well since.
    """

    fingerprint: bytes
    count: int


class KneeVerdict(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Whether the sender found its upstream to turn slower when nearly full."""

    service: str
    slower: bool


Datagram = (
    Beacon
    | Announce
    | RosterRequest
    | Roster
    | Departed
    | Renew
    | SuspectNotice
    | KneeVerdict
)

_record = msgspec.msgpack.Decoder(MemberRecord)
_departed = msgspec.msgpack.Decoder(Departed)


def encode_record(record):
    """Return the bytes that the store keeps of a record."""
    return msgspec.msgpack.encode(record)


def decode_record(value, kind=MemberRecord):
    """Return the record in a row's value, or None when it is malformed."""
    decoder = _record if kind is MemberRecord else _departed
    try:
        return decoder.decode(value)
    except msgspec.MsgspecError:
        return None
