"""Messages that daemons exchange on a link, and their codec.

Each frame is a 4-byte big-endian length followed by a msgpack array whose first item
is the integer tag of the message type. Fields are encoded by position.
"""

import struct

import msgspec

from goldcresthoist.links.errors import CorruptFrame

__all__ = [
    "MAX_BODY_FRAME_BYTES",
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

# Maximum body bytes in one frame. Larger frames would delay the short calls that share
# the connection.
MAX_BODY_FRAME_BYTES = 32 * 1024
MAX_FRAME_BYTES = 256 * 1024
# Flow-control window of one direction of a call.
STREAM_CREDIT_BYTES = 256 * 1024

_LENGTH = struct.Struct(">I")


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one upstream as measured by its serving daemon.

    Attributes
    ----------
    in_flight : int
        Calls that run at the upstream.
    queued : int
        Calls that wait for a slot.
    slots : int
        Calls that may run at the same time.
    service_ms : float
        Moving average of the service time of a call.
    draining : bool
        Whether the upstream accepts no new calls.
    at_ms : int
        Time of the report on the sender's monotonic clock, in milliseconds modulo
        65,536; -1 when unknown.
    failing : bool
        Whether the recent calls of all entry daemons failed at the upstream.
    pace : float
        Ratio of the current to the usual processing time; 0 when unknown.
    pace_age_ms : int
        Age of the pace sample.
    failure_share : float
        Share of the recent calls of all entry daemons that failed at the upstream.
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
    """First handshake message, sent by the accepting daemon."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Response of the opening daemon to the challenge, which authenticates it."""

    instance: str
    nonce: bytes
    mac: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Last handshake message, which authenticates the accepting daemon."""

    instance: str
    mac: bytes


class Open(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Starts a call to the local upstream of the serving daemon.

    Attributes
    ----------
    call_id : int
        Identifies the call on this link.
    time_left_us : int
        Time left until the deadline. It is relative because the clocks of two instances
        differ; the receiver converts it to a deadline on arrival.
    fingerprint : bytes
        Fingerprint of the request, by which its crashes are counted.
    crash_count : int
        Number of crashes that the sender attributes to the request.
    body : bytes
        First bytes of the request body. The sender may send more only after the
        receiver has granted credit, which it does once the call holds a slot.
    end : bool
        Whether ``body`` is the complete request body.
    hedge : bool
        Whether the call duplicates one that already runs at another upstream.
    priority : int
        Rank of the call under overload; 0 is served first.
    soft_deadline_us : int
        Time left until the soft deadline, after which the response loses value.
    alternatives : int
        Number of other upstreams that the sender could still send the call to.
    repeatable : bool
        Whether the work may be executed more than once. Work that may not is completed
        even when its caller disconnects.
    workspace : str
        Name of the workspace of the request; empty when it has none.
    retried : bool
        Whether another upstream may have got the request before, or gets it as well.
    spare_slot_only : bool
        Whether the call may start only at once, on a slot that no other call needs.
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
    soft_deadline_us: int = 0
    alternatives: int = 0
    repeatable: bool = False
    workspace: str = ""
    retried: bool = False
    spare_slot_only: bool = False


class Body(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A chunk of a request or response body."""

    call_id: int
    data: bytes
    end: bool


class Credit(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Allows the peer to send ``size`` more body bytes of one call."""

    call_id: int
    size: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The sender no longer needs the response to the call."""

    call_id: int


class Head(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Head of a response, with the first bytes of its body."""

    call_id: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    load: LoadReport | None
    body: bytes
    end: bool


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The call was rejected before it started and is not executed."""

    call_id: int
    code: str
    message: str
    retry_after_ms: int
    load: LoadReport | None


class FailureKind:
    """Reasons why a started call has no complete response."""

    CRASHED = "crashed"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"


class Failed(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The call was started and has no complete response.

    ``crash_count`` is the number of crashes that the sender attributes to the request.
    """

    call_id: int
    kind: str
    message: str
    load: LoadReport | None
    crash_count: int = 0


class Suspect(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Reports a request that was running when an upstream crashed."""

    fingerprint: bytes
    count: int
    instance: str


class SuspectAck(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Confirms that the sender has recorded the crash suspect."""

    fingerprint: bytes


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Liveness check of the opening daemon."""

    seq: int


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Response to a ping, with the load of the upstream.

    It is also sent unsolicited after the handshake, and when draining starts.
    """

    seq: int
    load: LoadReport | None


class FetchConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Requests the configuration that is in force at the receiver."""


class ConfigurationContent(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The compressed configuration in force, empty when there is none.

    ``age_ms`` is the time since it was last known to be the newest version.
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
    """Return a message encoded as one frame."""
    frame = bytearray(_LENGTH.size)
    _encoder.encode_into(message, frame, _LENGTH.size)
    _LENGTH.pack_into(frame, 0, len(frame) - _LENGTH.size)
    return frame


class FrameDecoder:
    """Decodes a byte stream into messages.

    ``max_bytes`` limits the payload of one frame. Both ends keep it small until the
    handshake is complete.
    """

    def __init__(self, max_bytes=MAX_FRAME_BYTES):
        self.max_bytes = max_bytes
        self.buffer = b""

    def feed(self, data):
        """Add received bytes and return the messages that are complete.

        Raises
        ------
        CorruptFrame
            When a length or a payload is invalid. The connection must then be closed.
        """
        if self.buffer:
            data = self.buffer + data
            self.buffer = b""
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
            self.buffer = data[start:] if start else data
        return messages


def _decode(payload):
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise CorruptFrame(f"frame cannot be decoded: {exc}") from exc
