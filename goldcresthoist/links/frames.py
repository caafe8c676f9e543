"""Messages between daemons on a link, and their codec.

Each frame is a 4-byte big-endian length followed by a msgpack array whose first item
is the integer tag of the message.
"""

import struct

import msgspec

from goldcresthoist.links.errors import CorruptFrame

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_FRAME_BYTES",
    "STREAM_CREDIT_BYTES",
    "Body",
    "Cancel",
    "Challenge",
    "ConfigurationContent",
    "Credit",
    "Failed",
    "FailureKind",
    "FetchConfiguration",
    "FrameDecoder",
    "Head",
    "Hello",
    "LoadReport",
    "Open",
    "Ping",
    "Pong",
    "Refuse",
    "Suspect",
    "SuspectAck",
    "Welcome",
    "encode_frame",
]

# A larger body frame would delay the short calls that share the connection.
MAX_BODY_BYTES = 32 * 1024
MAX_FRAME_BYTES = 256 * 1024
STREAM_CREDIT_BYTES = 256 * 1024

_LENGTH = struct.Struct(">I")


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one upstream as counted by the daemon beside it.

    ``service_ms`` is the moving average of the time that one call takes. ``at_ms`` is
    when the report was made, on the sender's monotonic clock in milliseconds modulo
    65,536; -1 when it is not known. ``failing`` tells that recent calls of everybody
    failed at the upstream. ``pace`` is how many times longer than usual work takes
    there, 0 when it is not known, and ``pace_age_ms`` how old that figure is.
    ``failure_share`` is the share of recent calls of everybody that failed there.
    """

    in_flight: int
    queued: int
    slots: int
    service_ms: float
    draining: bool = False
    at_ms: int = -1
    failing: bool = False
    pace: float = 0.0
    pace_age_ms: int = 0
    failure_share: float = 0.0


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message of the accepting daemon."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer of the opening daemon to a challenge."""

    instance: str
    nonce: bytes
    mac: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """End of the handshake: the accepting daemon proves itself."""

    instance: str
    mac: bytes


class Open(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A call for the upstream beside the receiving daemon.

    ``time_left_us`` is relative since the clocks of two instances differ; the receiver
    turns it into a deadline at once. More body bytes than ``body`` may be sent only
    when the receiver has granted credit, which it does when the call holds a slot.
    ``priority`` is the rank of the call under overload, 0 first. ``aim_us`` is the time
    left in which its answer has its full value, and ``others`` tells how many other
    upstreams the sender could still offer the call to. Work that is not ``repeatable``
    is brought to its end even when its caller leaves.
    """

    call_id: int
    service: str
    work: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    time_left_us: int
    key: str
    fingerprint: bytes
    crash_count: int
    body: bytes
    end: bool
    hedge: bool = False
    priority: int = 0
    aim_us: int = 0
    others: int = 0
    repeatable: bool = False


class Body(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A piece of a request or answer body."""

    call_id: int
    data: bytes
    end: bool


class Credit(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Permission to send more body bytes of one call."""

    call_id: int
    size: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The caller no longer wants the answer."""

    call_id: int


class Head(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Start of an answer, with its first body bytes."""

    call_id: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    load: LoadReport | None
    body: bytes
    end: bool


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The call was not started and will not be."""

    call_id: int
    code: str
    message: str
    retry_after_ms: int
    load: LoadReport | None


class FailureKind:
    """Why a started call has no answer."""

    CRASHED = "crashed"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"


class Failed(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The call was started and has no usable answer.

    ``crash_count`` is how many crashes the sender counts for the request.
    """

    call_id: int
    kind: str
    message: str
    load: LoadReport | None
    crash_count: int = 0


class Suspect(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A request was running when an upstream crashed."""

    fingerprint: bytes
    count: int
    instance: str


class SuspectAck(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The sender counts the suspect request from now on."""

    fingerprint: bytes


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Asks whether the peer is alive."""

    seq: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Answer to a ping, also sent unasked when draining starts."""

    seq: int
    load: LoadReport | None


class FetchConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Asks for the configuration that the receiver has in force."""


class ConfigurationContent(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The compressed configuration in force, empty when there is none.

    ``age_ms`` is how long ago it was known to be the newest one.
    """

    version: int
    age_ms: int
    content: bytes


Frame = (
    Challenge
    | Hello
    | Welcome
    | Open
    | Body
    | Credit
    | Cancel
    | Head
    | Refuse
    | Failed
    | Suspect
    | SuspectAck
    | Ping
    | Pong
    | FetchConfiguration
    | ConfigurationContent
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(message):
    """Return the bytes of one frame."""
    frame = bytearray(_LENGTH.size)
    _encoder.encode_into(message, frame, _LENGTH.size)
    _LENGTH.pack_into(frame, 0, len(frame) - _LENGTH.size)
    return frame


class FrameDecoder:
    """Splits a byte stream into messages.

    ``max_bytes`` limits one frame; an acceptor keeps it small until the peer has
    authenticated itself.
    """

    def __init__(self, max_bytes=MAX_FRAME_BYTES):
        self.max_bytes = max_bytes
        self.rest = b""

    def feed(self, data):
        """Add received bytes and return the complete messages.

        Raises
        ------
        CorruptFrame
            When a length or a payload is not valid; the connection must be closed.
        """
        if self.rest:
            data = self.rest + data
            self.rest = b""
        messages = []
        start = 0
        size = len(data)
        view = memoryview(data)
        while size - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data, start)
            if length > self.max_bytes:
                raise CorruptFrame(f"frame of {length} bytes exceeds {self.max_bytes}")
            end = start + _LENGTH.size + length
            if end > size:
                break
            messages.append(_decode(view[start + _LENGTH.size : end]))
            start = end
        if start < size:
            self.rest = data[start:] if start else data
        return messages


def _decode(payload):
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise CorruptFrame(f"frame cannot be decoded: {exc}") from exc
