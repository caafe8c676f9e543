"""Sending and receiving of datagrams."""

import asyncio
import ipaddress
import random
import time

import msgspec
from loguru import logger

from goldcresthoist.config import split_address
from goldcresthoist.gossip.envelope import MAC_BYTES, Sealer, check_sequence
from goldcresthoist.gossip.errors import CorruptDatagram, DatagramRejected, Replayed
from goldcresthoist.gossip.member import Member
from goldcresthoist.gossip.messages import (
    STATE_UPDATE,
    Packet,
    SequenceBehind,
    StateUpdate,
    key_of,
)
from goldcresthoist.gossip.rate_limiter import ByteRateLimiter
from goldcresthoist.gossip.updates import retransmit_limit

__all__ = ["Exchange", "check_address", "format_address", "new_nonce"]

# Sizes of the IP and UDP headers, which count towards the byte rate limit.
IPV4_HEADER_BYTES = 28
IPV6_HEADER_BYTES = 48
# Maximum number of senders outside the roster whose replay windows are kept. Beyond it,
# the oldest one is discarded.
MAX_UNKNOWN_SENDERS = 1024
# Minimum interval between `SequenceBehind` messages.
SEQUENCE_BEHIND_INTERVAL_S = 0.2


def format_address(address):
    """Return the ``"ip:port"`` form of a socket address."""
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def check_address(address):
    """Raise ValueError when an address is not ``"ip:port"``."""
    host, port = split_address(address)
    ipaddress.ip_address(host)
    if not 0 < port < 65536:
        raise ValueError(f"{address!r}: expected a port from 1 to 65535")


class Exchange(asyncio.DatagramProtocol):
    """Datagram endpoint of this daemon.

    Sends messages with queued updates, verifies received datagrams, applies their
    updates to the view, and passes their packets to ``handler``.

    Parameters
    ----------
    view : View
    versions : VersionTable
    shared_key : bytes
    options : GossipOptions
    wall_clock : callable
        Returns the time in seconds since the epoch. Only used for the initial sequence
        number.
    """

    def __init__(self, view, versions, shared_key, options, wall_clock=time.time):
        self.view = view
        self.versions = versions
        self.options = options
        self.sealer = Sealer(shared_key)
        self.address = format_address(split_address(view.record.gossip_address))
        is_ipv6 = self.address.startswith("[")
        self.header_bytes = IPV6_HEADER_BYTES if is_ipv6 else IPV4_HEADER_BYTES
        self.sequence = int(wall_clock() * 1e6)
        self.rate_limiter = ByteRateLimiter(
            options.bytes_per_s, options.burst_bytes, view.now()
        )
        self.transport = None
        # Callback that gets each accepted packet and its source address.
        self.handler = None
        # Nonce -> future of the answer.
        self.pending_replies = {}
        # Key -> highest sequence number and replay window of a sender that is not in
        # the roster; oldest first.
        self.unknown_senders = {}
        self.last_received_at = view.now()
        self.sequence_behind_sent_at = float("-inf")
        self.dropped = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.member_decoder = msgspec.msgpack.Decoder(Member)

    def connection_made(self, transport):
        """Store the transport of the socket."""
        self.transport = transport

    def error_received(self, exc):
        """Ignore an unreachable peer; probes detect it by the missing ack."""

    def send(self, message, address, states=b"", members=(), updates=True):
        """Send a message to ``"ip:port"``.

        Parameters
        ----------
        message : Message
        address : str
        states : bytes
            Packed state updates that must be in the datagram.
        members : sequence of bytes
            Encoded members that must be in the datagram.
        updates : bool
            Whether to fill the remaining space with queued updates.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self.sequence += 1
        packet = self._packet(message, states, members)
        room = self.rate_limiter.available(self.view.now()) > 0
        if updates and room and len(self.view.queue):
            packet = self._with_updates(packet, states, members)
        data = self.sealer.seal(packet, format_address(split_address(address)))
        size = len(data) + self.header_bytes
        self.rate_limiter.consume(size)
        self.bytes_sent += size
        try:
            self.transport.sendto(data, split_address(address))
        except OSError as exc:
            self.error_received(exc)

    def send_to(self, slot, message, **kwargs):
        """Send a message to the member in a slot."""
        self.send(message, self.view.roster.record(slot).gossip_address, **kwargs)

    async def request(self, message, address, timeout, **kwargs):
        """Send a message with a nonce; return its answer, or None after the timeout."""
        answer = asyncio.get_running_loop().create_future()
        self.pending_replies[message.nonce] = answer
        try:
            self.send(message, address, **kwargs)
            async with asyncio.timeout(timeout):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self.pending_replies[message.nonce]

    def resolve(self, nonce, answer):
        """Complete the request with this nonce; return whether there is one."""
        future = self.pending_replies.get(nonce)
        if future is not None and not future.done():
            future.set_result(answer)
        return future is not None

    def datagram_received(self, data, addr):
        """Verify, apply and answer one datagram."""
        self.bytes_received += len(data) + self.header_bytes
        address = format_address(addr)
        try:
            packet = self.sealer.open(data, self.address)
            self._check_replay(packet, address)
            self._accept(packet, address)
        except DatagramRejected:
            self.dropped += 1
        except Exception:
            # An exception in a subscriber must not propagate to the event loop, which
            # may close the socket.
            logger.exception("event=datagram_failed source={}", address)

    def _packet(self, message, states=b"", members=()):
        view = self.view
        return Packet(
            view.record.instance,
            self.sequence,
            view.incarnation,
            view.state,
            view.check,
            view.cluster_size(),
            view.digest(),
            self.versions.digest,
            message,
            states,
            tuple(msgspec.Raw(data) for data in members),
        )

    def _with_updates(self, packet, states, members):
        used = len(self.sealer.encoder.encode(packet)) + MAC_BYTES + 4
        limit = retransmit_limit(self.view.cluster_size())
        taken = self.view.queue.take(self.options.datagram_bytes - used, limit)
        # State updates are distinguished from encoded members by their size, which is
        # fixed and smaller than that of any member.
        states += b"".join(data for data in taken if len(data) == STATE_UPDATE.size)
        full = (data for data in taken if len(data) != STATE_UPDATE.size)
        return self._packet(packet.message, states, (*members, *full))

    def _check_replay(self, packet, address):
        if packet.sender == self.view.record.instance:
            raise Replayed("datagram was sent by this daemon")
        slot = self.view.roster.slot_of(packet.sender)
        try:
            if slot is None:
                self._check_unknown_sender(packet)
            else:
                self._check_member(slot, packet.sequence)
        except Replayed as exc:
            self._send_sequence_behind(exc, address)
            raise

    def _check_member(self, slot, sequence):
        roster = self.view.roster
        roster.sequences[slot], roster.windows[slot] = check_sequence(
            sequence, roster.sequences[slot], roster.windows[slot]
        )

    def _check_unknown_sender(self, packet):
        key = key_of(packet.sender)
        known = self.unknown_senders.get(key, (0, 0))
        # If this raises, the state stays, so that the next replay is detected too.
        seen = check_sequence(packet.sequence, *known)
        self.unknown_senders.pop(key, None)
        if len(self.unknown_senders) >= MAX_UNKNOWN_SENDERS:
            del self.unknown_senders[next(iter(self.unknown_senders))]
        self.unknown_senders[key] = seen

    def _send_sequence_behind(self, exc, address):
        now = self.view.now()
        if (
            exc.highest is None
            or now < self.sequence_behind_sent_at + SEQUENCE_BEHIND_INTERVAL_S
        ):
            return
        self.sequence_behind_sent_at = now
        self.send(SequenceBehind(exc.highest), address, updates=False)

    def _accept(self, packet, address):
        if len(packet.states) % STATE_UPDATE.size:
            raise CorruptDatagram(
                f"{len(packet.states)} bytes are not a whole number of state updates"
            )
        members = self._decode_members(packet)
        self.last_received_at = self.view.now()
        self._apply_sender_state(packet)
        for member in members:
            self.view.apply_member(member)
        self.view.apply_states(packet.states)
        self._move_replay_state(packet.sender)
        self.handler(packet, address)

    def _decode_members(self, packet):
        try:
            members = [self.member_decoder.decode(raw) for raw in packet.members]
            for member in members:
                check_address(member.gossip_address)
        except (msgspec.DecodeError, ValueError, RecursionError) as exc:
            raise CorruptDatagram(f"invalid member: {exc}") from exc
        return members

    def _apply_sender_state(self, packet):
        """Apply the state that the sender reports of itself."""
        key = key_of(packet.sender)
        update = StateUpdate(key, packet.check, packet.incarnation, packet.state)
        self.view.apply_state(update)

    def _move_replay_state(self, sender):
        """Move the replay window of a sender that was just added to the roster."""
        key = key_of(sender)
        slot = self.view.roster.slots.get(key)
        if slot is not None and key in self.unknown_senders:
            roster = self.view.roster
            roster.sequences[slot], roster.windows[slot] = self.unknown_senders.pop(key)


def new_nonce():
    """Return a random number that matches an answer to its request."""
    return random.getrandbits(63)
