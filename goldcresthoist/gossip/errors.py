"""Exceptions of the gossip package."""

__all__ = ["BadMac", "CorruptDatagram", "DatagramRejected", "GossipError", "Replayed"]


class GossipError(Exception):
    """Base of all errors of this package."""


class DatagramRejected(GossipError):
    """A received datagram was rejected; it is dropped and counted."""


class BadMac(DatagramRejected):
    """The MAC does not match the content, the shared key and the destination."""


class CorruptDatagram(DatagramRejected):
    """The datagram carries a valid MAC but cannot be decoded."""


class Replayed(DatagramRejected):
    """The datagram's sequence number was seen before or is too old."""

    def __init__(self, message, highest=None):
        super().__init__(message)
        # Highest sequence number received, if the datagram's number is too far behind
        # it. This also happens when the sender restarts after its clock was set back.
        self.highest = highest
