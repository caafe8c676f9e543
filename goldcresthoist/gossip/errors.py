"""Errors of gossip between daemons."""

__all__ = ["BadMac", "CorruptDatagram", "DatagramRejected", "GossipError", "Replayed"]


class GossipError(Exception):
    """Base of all errors of this package."""


class DatagramRejected(GossipError):
    """A received datagram is dropped and counted."""


class BadMac(DatagramRejected):
    """The datagram was not written by a holder of the shared key for this daemon."""


class CorruptDatagram(DatagramRejected):
    """The datagram carries a valid MAC but cannot be decoded."""


class Replayed(DatagramRejected):
    """The datagram's sequence number was seen before or is too old."""

    def __init__(self, message, highest=None):
        super().__init__(message)
        # Set when the sender's sequence number is behind the one remembered, which
        # also happens when the sender restarts after its clock was set back.
        self.highest = highest
