"""Codec of grpclib for msgspec messages that are sealed with a MAC."""

import hashlib
import hmac

import msgspec
from grpclib import GRPCError, Status
from grpclib.encoding.base import CodecBase

__all__ = ["SealedCodec"]

MAC_BYTES = 16


class SealedCodec(CodecBase):
    """Encodes messages as msgpack after a keyed BLAKE2b MAC over type and content.

    Parameters
    ----------
    shared_key : bytes
        Key that daemons authenticate each other with.
    """

    __content_subtype__ = "msgpack"

    def __init__(self, shared_key):
        self.key = hashlib.blake2b(
            shared_key, digest_size=32, person=b"goldcrest-contrl"
        ).digest()
        self.rejected = 0

    def encode(self, message, message_type):
        """Return the sealed bytes of a message."""
        body = msgspec.msgpack.encode(message)
        return self._mac(body, message_type) + body

    def decode(self, data, message_type):
        """Return the message in sealed bytes.

        Raises
        ------
        grpclib.GRPCError
            ``UNAUTHENTICATED`` for a wrong MAC, ``INVALID_ARGUMENT`` for content that
            cannot be decoded. The form that grpclib returns to the peer as it is.
        """
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body, message_type)):
            self.rejected += 1
            raise GRPCError(Status.UNAUTHENTICATED, "wrong MAC")
        try:
            return msgspec.msgpack.decode(body, type=message_type)
        except msgspec.DecodeError as exc:
            self.rejected += 1
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc

    def _mac(self, body, message_type):
        mac = hashlib.blake2b(body, key=self.key, digest_size=MAC_BYTES)
        mac.update(message_type.__name__.encode())
        return mac.digest()
