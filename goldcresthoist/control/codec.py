"""grpclib codec for msgspec messages that carry a message authentication code."""

import hashlib
import hmac

import msgspec
from grpclib import GRPCError, Status
from grpclib.encoding.base import CodecBase

__all__ = ["AuthenticatedCodec"]

MAC_BYTES = 16


class AuthenticatedCodec(CodecBase):
    """Encodes messages as msgpack with a keyed BLAKE2b MAC in front.

    The MAC covers the encoded message and the name of its type, so the class names of
    messages are part of the protocol.

    Parameters
    ----------
    shared_key : bytes
        Key with which daemons authenticate each other's messages.

    Attributes
    ----------
    rejected : int
        Number of received messages with a wrong MAC or undecodable content.
    """

    __content_subtype__ = "msgpack"

    def __init__(self, shared_key):
        self.key = hashlib.blake2b(
            shared_key, digest_size=32, person=b"goldcrest-contrl"
        ).digest()
        self.rejected = 0

    def encode(self, message, message_type):
        """Return the MAC of a message followed by its encoded content."""
        body = msgspec.msgpack.encode(message)
        return self._mac(body, message_type) + body

    def decode(self, data, message_type):
        """Verify the MAC and return the decoded message.

        Raises
        ------
        grpclib.GRPCError
            ``UNAUTHENTICATED`` for a wrong MAC, ``INVALID_ARGUMENT`` for content that
            cannot be decoded. grpclib sends this exception to the peer unchanged.
        """
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body, message_type)):
            self.rejected += 1
            raise GRPCError(Status.UNAUTHENTICATED, "wrong MAC")
        try:
            return msgspec.msgpack.decode(body, type=message_type)
        except (msgspec.DecodeError, RecursionError) as exc:
            self.rejected += 1
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc

    def _mac(self, body, message_type):
        mac = hashlib.blake2b(body, key=self.key, digest_size=MAC_BYTES)
        mac.update(message_type.__name__.encode())
        return mac.digest()
