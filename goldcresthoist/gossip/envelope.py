"""Authentication of datagrams and detection of replays."""

import hashlib
import hmac

import msgspec

from goldcresthoist.gossip.errors import BadMac, CorruptDatagram, Replayed
from goldcresthoist.gossip.messages import Packet

__all__ = ["MAC_BYTES", "WINDOW", "Sealer", "check_sequence"]

MAC_BYTES = 16
# Size of the replay window, in sequence numbers. A datagram that arrives after one
# whose number is higher by this many or more is dropped. Two daemons rarely have more
# than a few datagrams in flight.
WINDOW = 64
_WINDOW_MASK = (1 << WINDOW) - 1


class Sealer:
    """Encodes datagrams and authenticates them with the key that all daemons share.

    The content is not encrypted. The MAC also covers the destination address, so that
    a datagram that was recorded on its way to one daemon is not accepted by another.

    Parameters
    ----------
    shared_key : bytes
    packet_type : type
        Type of the content, `Packet` by default.
    """

    def __init__(self, shared_key, packet_type=Packet):
        self.key = hashlib.blake2b(
            shared_key, digest_size=32, person=b"goldcrest-gossip"
        ).digest()
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(packet_type)

    def seal(self, packet, destination):
        """Return the authenticated datagram for a packet.

        Parameters
        ----------
        packet : Packet
        destination : str
            The receiver's gossip address, ``"ip:port"``.
        """
        body = self.encoder.encode(packet)
        return self._mac(body, destination) + body

    def open(self, data, destination):
        """Verify a datagram and return its packet.

        Parameters
        ----------
        data : bytes
        destination : str
            The receiver's own gossip address, ``"ip:port"``.

        Raises
        ------
        BadMac
            When the MAC does not match.
        CorruptDatagram
            When the content cannot be decoded as a packet.
        """
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body, destination)):
            raise BadMac(f"datagram of {len(data)} bytes has a wrong MAC")
        try:
            return self.decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise CorruptDatagram(f"datagram cannot be decoded: {exc}") from exc

    def _mac(self, body, destination):
        mac = hashlib.blake2b(body, key=self.key, digest_size=MAC_BYTES)
        mac.update(destination.encode())
        return mac.digest()


def check_sequence(sequence, highest, window):
    """Check a sequence number against the replay window of its sender.

    Parameters
    ----------
    sequence : int
        Sequence number of the received datagram.
    highest : int
        Highest sequence number received before, 0 for none.
    window : int
        Bit n is set when ``highest - n`` was received.

    Returns
    -------
    highest, window : int
        The values after this datagram.

    Raises
    ------
    Replayed
        When the number was received before or is older than the window.
    """
    if sequence > highest:
        shift = min(sequence - highest, WINDOW)
        return sequence, ((window << shift) | 1) & _WINDOW_MASK
    age = highest - sequence
    if age >= WINDOW:
        raise Replayed(f"sequence {sequence} is {age} behind", highest)
    if window >> age & 1:
        raise Replayed(f"sequence {sequence} was received before")
    return highest, window | 1 << age
