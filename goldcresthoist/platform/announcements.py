"""What an upstream says of itself to the daemon beside it."""

import re
from dataclasses import dataclass

import msgspec

from goldcresthoist.platform.errors import InvalidMessage

__all__ = [
    "Announcement",
    "Departure",
    "decode_announcement",
    "decode_departure",
    "identity_in_path",
]

MAX_SLOTS = 100_000

_PATH = re.compile(r"/Instances\.(Heartbeat|Deregister)/([A-Za-z0-9_.:-]{1,200})")


@dataclass(frozen=True, slots=True)
class Announcement:
    """One upstream as it describes itself.

    ``identity`` names one or more runs of the upstream; ``born_ms`` tells them apart.
    """

    identity: str
    address: str
    service: str
    slots: int
    draining: bool
    sequence: int
    # Seconds for which it is still slow after its start.
    cold_s: float
    # Unix milliseconds of its start; 0 when it does not say.
    born_ms: int


@dataclass(frozen=True, slots=True)
class Departure:
    """An upstream that leaves without another announcement."""

    identity: str
    # Unix milliseconds of its start; 0 when it does not say.
    born_ms: int


class _Info(msgspec.Struct, frozen=True):
    service: str
    slots: int = 1
    zone: str = ""


class _Status(msgspec.Struct, frozen=True):
    state: str
    sequence: int = 0
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


def identity_in_path(path):
    """Return ``("Heartbeat" or "Deregister", identity)``, or None for other paths."""
    match = _PATH.fullmatch(path)
    return match.groups() if match else None


def decode_announcement(identity, body):
    """Return the `Announcement` in the body of a heartbeat.

    Raises
    ------
    InvalidMessage
        When a field is missing, of another type or out of range.
    """
    try:
        found = _heartbeat.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise InvalidMessage(f"heartbeat of {identity!r}: {exc}") from exc
    status = found.status
    if status.state not in ("ready", "draining"):
        raise InvalidMessage(f"heartbeat of {identity!r}: state {status.state!r}")
    if not 0 < found.info.slots <= MAX_SLOTS:
        raise InvalidMessage(f"heartbeat of {identity!r}: {found.info.slots} slots")
    if found.born < 0 or status.sequence < 0:
        raise InvalidMessage(f"heartbeat of {identity!r}: a negative number")
    return Announcement(
        identity,
        found.address,
        found.info.service,
        found.info.slots,
        status.state == "draining",
        status.sequence,
        max(0.0, status.cold_left_s),
        found.born,
    )


def decode_departure(identity, body):
    """Return the `Departure` in the body of a deregistration, which may be empty.

    Raises
    ------
    InvalidMessage
        When the body cannot be read.
    """
    if not body:
        return Departure(identity, 0)
    try:
        found = _deregistration.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise InvalidMessage(f"departure of {identity!r}: {exc}") from exc
    return Departure(identity, found.born)
