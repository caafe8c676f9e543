"""Announcements and departures that an upstream sends to the daemon on its instance."""

import re
from dataclasses import dataclass

import msgspec

from goldcresthoist.platform.errors import InvalidMessage

__all__ = [
    "Announcement",
    "Departure",
    "decode_announcement",
    "decode_departure",
    "parse_announcement_path",
]

MAX_SLOTS = 100_000
# Largest start time, in Unix milliseconds, and number of an announcement that count as
# possible.
MAX_NUMBER = 2**48
MAX_COLD_S = 3600.0

_PATH = re.compile(r"/Instances\.(Heartbeat|Deregister)/([A-Za-z0-9_.:-]{1,200})")


@dataclass(frozen=True, slots=True)
class Announcement:
    """The state that an upstream reports in a heartbeat.

    Several runs of an upstream may share an ``identity``; ``born_ms`` distinguishes
    them.
    """

    identity: str
    # ``"ip:port"``, as given by the upstream.
    address: str
    service: str
    # Number of requests that the upstream processes at the same time.
    slots: int
    draining: bool
    # Number of the heartbeat within the run.
    sequence: int
    # Remaining time for which the upstream is slow after its start, in seconds.
    cold_s: float
    # Start time in Unix milliseconds; 0 when the upstream does not give it.
    born_ms: int


@dataclass(frozen=True, slots=True)
class Departure:
    """A deregistration: the upstream leaves and sends no further announcement."""

    identity: str
    # Start time in Unix milliseconds; 0 when the upstream does not give it.
    born_ms: int


# A heartbeat without the service, slots, state or sequence comes from another writer.
class _Info(msgspec.Struct, frozen=True):
    service: str
    slots: int
    zone: str = ""


class _Status(msgspec.Struct, frozen=True):
    state: str
    sequence: int
    cold_left_s: float = 0.0


class _Heartbeat(msgspec.Struct, frozen=True):
    address: str
    info: _Info
    status: _Status
    born: int = 0


class _Deregistration(msgspec.Struct, frozen=True):
    born: int = 0


_heartbeat = msgspec.json.Decoder(_Heartbeat)
_deregistration = msgspec.json.Decoder(_Deregistration)


def parse_announcement_path(path):
    """Return the kind of an announcement and the upstream's identity from a path.

    The kind is ``"Heartbeat"`` or ``"Deregister"``. Return None for other paths.
    """
    match = _PATH.fullmatch(path)
    return match.groups() if match else None


def decode_announcement(identity, body):
    """Return the `Announcement` in the body of a heartbeat.

    Raises
    ------
    InvalidMessage
        When the body is not valid JSON, or a field is missing, has a wrong type or is
        out of range.
    """
    try:
        decoded = _heartbeat.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise InvalidMessage(f"heartbeat of {identity!r}: {exc}") from exc
    status = decoded.status
    if status.state not in ("ready", "draining"):
        raise InvalidMessage(
            f"heartbeat of {identity!r}: unknown state {status.state!r}"
        )
    if not 0 < decoded.info.slots <= MAX_SLOTS:
        raise InvalidMessage(
            f"heartbeat of {identity!r}: {decoded.info.slots} slots, "
            f"expected 1 to {MAX_SLOTS}"
        )
    if not (0 <= decoded.born <= MAX_NUMBER and 0 <= status.sequence <= MAX_NUMBER):
        raise InvalidMessage(
            f"heartbeat of {identity!r}: born and sequence must be 0 to {MAX_NUMBER}"
        )
    return Announcement(
        identity,
        decoded.address,
        decoded.info.service,
        decoded.info.slots,
        status.state == "draining",
        status.sequence,
        min(MAX_COLD_S, max(0.0, status.cold_left_s)),
        decoded.born,
    )


def decode_departure(identity, body):
    """Return the `Departure` in the body of a deregistration, which may be empty.

    Raises
    ------
    InvalidMessage
        When the body is not a JSON object, or the start time in it not an integer or
        out of range.
    """
    if not body:
        return Departure(identity, 0)
    try:
        decoded = _deregistration.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise InvalidMessage(f"departure of {identity!r}: {exc}") from exc
    if not 0 <= decoded.born <= MAX_NUMBER:
        raise InvalidMessage(
            f"departure of {identity!r}: born must be 0 to {MAX_NUMBER}"
        )
    return Departure(identity, decoded.born)
