"""Datagrams between the daemons of a fleet, and the records kept in the store."""

import ipaddress
import math

import msgspec

from goldcresthoist.balance.suspects import SUSPECT_EXPIRY_S

__all__ = [
    "Departed",
    "KneeVerdict",
    "MemberAnnouncement",
    "MemberLeft",
    "MemberRecord",
    "QuotaNotice",
    "QuotaReply",
    "QuotaReport",
    "Roster",
    "RosterRequest",
    "RowMissing",
    "StoredSuspect",
    "SuspectNotice",
    "VersionNotice",
    "VersionReport",
    "decode_record",
    "decode_suspect",
    "encode_record",
    "is_valid",
]

# Largest size of a text in a record. Ten records fit into a datagram.
MAX_TEXT_CHARS = 200
# Start times are Unix milliseconds; a later one than this is that of no daemon.
MAX_TIME_MS = 2**48
# Largest number of crashes of one request that counts as possible.
MAX_CRASH_COUNT = 1_000_000
MAX_FINGERPRINT_BYTES = 64


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Address, location and service of one daemon.

    ``born_ms`` is the time at which the daemon started or last changed its service, in
    Unix milliseconds. Of two records with the same address, the later one is valid.
    ``link_mbit_s`` is the bandwidth of the instance; 0 if the daemon runs an earlier
    release.
    """

    ip: str
    instance: str
    failure_domain: str
    region: str
    service: str
    born_ms: int
    link_mbit_s: float = 0.0


class VersionReport(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The configuration version of a daemon that watches the store.

    ``age_ms`` is the time since the store last confirmed that this version is the
    newest; -1 when the store has not confirmed it yet. ``watch_age_ms`` is the time
    since the store last responded, which is less while the newest version is malformed;
    -1 when it has not, or when the sender runs an earlier release.

    ``drained_domains``, ``domains_revision`` and ``domains_era`` are those that
    `DrainedDomains` has from the store, and the version and era of their position. The
    version is -1 when the sender knows no set or runs an earlier release, and the era 0
    when the store names none or the sender runs an earlier release.
    """

    ip: str
    version: int
    age_ms: int
    watch_age_ms: int = -1
    domains_revision: int = -1
    drained_domains: tuple[str, ...] = ()
    domains_era: int = 0


class MemberAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Record of the sender, or of a member that the sender found in the store."""

    member: MemberRecord


class RosterRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Requests the members known to the receiver.

    ``digest`` covers the members known to the sender. A receiver whose own digest is
    equal sends no members, nor does one when ``members`` is false. In any case it sends
    the last departures of the sender's upstream that it knows.
    """

    ip: str
    digest: bytes = b""
    members: bool = True


class Roster(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Some of the members known to the sender."""

    members: tuple[MemberRecord, ...]


class Departed(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An upstream whose departure was acknowledged by the daemon on its instance.

    ``ip`` is the address of that daemon and ``identity`` that of the upstream, which
    its runs may share. ``born_ms`` is the start time of the run that left, in Unix
    milliseconds. When it is 0, all runs that started up to ``before_ms`` have left.
    """

    ip: str
    identity: str
    born_ms: int
    before_ms: int = 0


class RowMissing(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Notice that the receiver's row is missing from the store."""


class SuspectNotice(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A request that was running when an upstream crashed.

    ``fingerprint`` identifies the request. ``count`` is the number of such crashes so
    far; 0 means that the request has succeeded since. ``time_left_s`` is the time until
    the request is no longer suspected.
    """

    fingerprint: bytes
    count: int
    time_left_s: float = SUSPECT_EXPIRY_S


class StoredSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that was running when upstreams crashed, as the store keeps it.

    ``fingerprint`` and ``count`` are those of `SuspectNotice`. ``changed_ms`` is the
    time of the last crash, or of the success, in Unix milliseconds.
    """

    fingerprint: bytes
    count: int
    changed_ms: int


class KneeVerdict(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Whether the sender's upstream has a latency knee.

    ``slower`` is true when the upstream takes longer for each request while almost all
    of its slots are in use.
    """

    service: str
    slower: bool


class VersionNotice(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A configuration version that the sender has put in force and passes on.

    It is sent to those daemons only that fetch from the sender first, see
    `Directory.source`, and to watchers that have an older version. ``age_ms`` is that
    of `VersionReport`.
    """

    ip: str
    version: int
    age_ms: int


class MemberLeft(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The sender stops for good, as its upstream has left.

    ``born_ms`` is that of its `MemberRecord`; a later record of the address is valid.
    """

    ip: str
    born_ms: int


class QuotaReport(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Requests of workspaces that the sender asks a counter to admit.

    ``ip`` is the address of the sender as a number. ``groups`` is the number of groups
    that the sender computes from the members, and ``group`` the one of all items.
    ``run`` and ``number`` identify the query; ``number`` is 0 in answers to a
    `QuotaNotice`, which have no items. ``allotted_us`` is the time in microseconds that
    the sender allots to the counter, and ``exclusive`` tells whether it has lately
    allotted time to no other one. Each item has the name of a workspace, the number
    of requests, and the number of tokens that earlier requests have not used.
    """

    ip: int
    groups: int
    group: int
    run: int
    number: int
    allotted_us: int
    exclusive: bool
    items: tuple[tuple[str, int, int], ...] = ()


class QuotaReply(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Answer of a counter to a `QuotaReport`.

    Each verdict has the number of requests that may run, and the time in milliseconds
    after which the others can be repeated; -1 if the sender does not count for the
    workspace. The verdicts are in the order of the items.
    """

    ip: int
    run: int
    number: int
    verdicts: tuple[tuple[int, int], ...]


class QuotaNotice(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Request of a counter for the time that the receiver owns.

    ``ip``, ``groups`` and ``group`` are those of `QuotaReport`.
    """

    ip: int
    groups: int
    group: int


Datagram = (
    VersionReport
    | MemberAnnouncement
    | RosterRequest
    | Roster
    | Departed
    | RowMissing
    | SuspectNotice
    | KneeVerdict
    | VersionNotice
    | MemberLeft
    | QuotaReport
    | QuotaReply
    | QuotaNotice
)

_record = msgspec.msgpack.Decoder(MemberRecord)
_departed = msgspec.msgpack.Decoder(Departed)
_suspect = msgspec.msgpack.Decoder(StoredSuspect)


def encode_record(record):
    """Return a record in the format in which the store keeps it."""
    return msgspec.msgpack.encode(record)


def decode_record(value, kind=MemberRecord):
    """Return the record in a row's value, or None if it is malformed or impossible.

    ``kind`` is the type of the record: `MemberRecord` or `Departed`.
    """
    decoder = _record if kind is MemberRecord else _departed
    try:
        record = decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return record if is_valid(record) else None


def decode_suspect(value):
    """Return the `StoredSuspect` in a row's value; None if malformed or impossible."""
    try:
        suspect = _suspect.decode(value)
    except (msgspec.MsgspecError, RecursionError):
        return None
    possible = (
        0 < len(suspect.fingerprint) <= MAX_FINGERPRINT_BYTES
        and 0 <= suspect.count <= MAX_CRASH_COUNT
        and 0 <= suspect.changed_ms <= MAX_TIME_MS
    )
    return suspect if possible else None


def is_valid(record):
    """Return whether the values of a `MemberRecord` or `Departed` are possible.

    Another program may have written the record. The address must be an IPv4 address, as
    the socket raises an error for any other one.
    """
    texts = [item for item in msgspec.structs.astuple(record) if isinstance(item, str)]
    if any(len(item) > MAX_TEXT_CHARS for item in texts):
        return False
    times = [record.born_ms]
    match record:
        case MemberRecord(link_mbit_s=link_mbit_s):
            if not 0.0 <= link_mbit_s < math.inf:
                return False
        case Departed(before_ms=before_ms):
            times.append(before_ms)
    if not all(0 <= item <= MAX_TIME_MS for item in times):
        return False
    try:
        ipaddress.IPv4Address(record.ip)
    except ValueError:
        return False
    return True
