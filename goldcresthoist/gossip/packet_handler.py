"""Handling of messages from other daemons."""

import random

from goldcresthoist.gossip.errors import CorruptDatagram
from goldcresthoist.gossip.exchange import check_address, new_nonce
from goldcresthoist.gossip.messages import (
    Ack,
    Gossip,
    IndirectProbe,
    Join,
    JoinReply,
    Probe,
    SequenceBehind,
    VersionAnnouncements,
    VersionAnswer,
    VersionQuery,
    VersionSummary,
)

__all__ = ["PacketHandler"]

# Maximum number of relayed probes that wait for an ack. Beyond it, the oldest one is
# discarded.
MAX_RELAYS = 256
# Size limit of the versions in one datagram, which leaves room for the other fields.
VERSIONS_BYTES = 900
# Size limit of the members in one page of a `JoinReply`.
MEMBERS_BYTES = 950
# Estimated encoded size of a version without its team and digest.
VERSION_OVERHEAD_BYTES = 12


class PacketHandler:
    """Handles accepted packets and answers their messages.

    Parameters
    ----------
    exchange : Exchange
    on_versions : callable
        Called with a list of versions higher than those in force here, the instance
        that announces them, and whether that instance has more of them.
    on_packet : callable
        Called with each packet after it was handled.
    """

    def __init__(self, exchange, on_versions, on_packet):
        self.exchange = exchange
        self.view = exchange.view
        self.versions = exchange.versions
        self.options = exchange.options
        self.on_versions = on_versions
        self.on_packet = on_packet
        # Nonce of a relayed probe -> nonce and source address of the indirect probe.
        self.relays = {}
        self.summary_sent_at = float("-inf")

    def handle(self, packet, address):
        """Handle one accepted packet."""
        match packet.message:
            case Probe(nonce, target):
                if self.is_own(target):
                    self._reply_to_probe(packet, nonce, address)
            case Ack():
                self._handle_ack(packet, address)
            case IndirectProbe():
                self._relay_probe(packet.message, address)
            case Join():
                self._reply_to_join(packet, address)
            case JoinReply(nonce) | VersionAnswer(nonce):
                self.exchange.resolve(nonce, packet.message)
            case SequenceBehind(highest):
                self.exchange.sequence = max(self.exchange.sequence, highest)
            case VersionAnnouncements(versions, more):
                self._handle_versions(versions, more, packet.sender)
            case VersionSummary(digests):
                self._reply_to_summary(digests, address)
            case VersionQuery(nonce, team):
                version = self.versions.version_of(team)
                self.exchange.send(VersionAnswer(nonce, version), address)
            case Gossip():
                pass
        self._compare_versions(packet, address)
        self.on_packet(packet)

    def is_own(self, key):
        """Return whether a key is that of this daemon's member."""
        return key == self.view.key

    def _reply_to_probe(self, packet, nonce, address):
        unknown = self.view.roster.slot_of(packet.sender) is None
        states = self.view.overriding_update_for(packet)
        self.exchange.send(Ack(nonce, unknown), address, states)

    def _handle_ack(self, packet, address):
        ack = packet.message
        if not self.exchange.resolve(ack.nonce, ack):
            self._forward_ack(ack)
        if ack.unknown:
            own = self.view.encoder.encode(self.view.local())
            self.exchange.send(Gossip(), address, members=(own,))
        elif override := self.view.overriding_update_for(packet):
            self.exchange.send(Gossip(), address, override)

    def _relay_probe(self, message, address):
        try:
            check_address(message.address)
        except ValueError as exc:
            raise CorruptDatagram(f"indirect probe: invalid address: {exc}") from exc
        if len(self.relays) >= MAX_RELAYS:
            del self.relays[next(iter(self.relays))]
        own_nonce = new_nonce()
        self.relays[own_nonce] = (message.nonce, address)
        self.exchange.send(Probe(own_nonce, message.target), message.address)

    def _forward_ack(self, ack):
        if relay := self.relays.pop(ack.nonce, None):
            nonce, address = relay
            self.exchange.send(Ack(nonce), address)

    def _reply_to_join(self, packet, address):
        join = packet.message
        roster = self.view.roster
        cursor = max(0, join.cursor)
        own = self.view.encoder.encode(self.view.local())
        members, size = [own], len(own)
        while cursor < len(roster.live):
            slot = roster.live[cursor]
            data = self.view.encoder.encode(roster.member(slot))
            if size + len(data) > MEMBERS_BYTES:
                break
            size += len(data)
            members.append(data)
            cursor += 1
        reply = JoinReply(join.nonce, cursor if cursor < len(roster.live) else -1)
        override = self.view.overriding_update_for(packet)
        self.exchange.send(reply, address, override, members, updates=False)

    def _handle_versions(self, versions, more, sender):
        if newer := self.versions.newer(versions):
            self.on_versions(newer, sender, more)

    def _reply_to_summary(self, digests, address):
        versions = self.versions.differing(digests)
        random.shuffle(versions)
        picked, size = [], 0
        for version in versions:
            size += len(version.team) + len(version.digest) + VERSION_OVERHEAD_BYTES
            if size > VERSIONS_BYTES:
                break
            picked.append(version)
        if picked:
            announcements = VersionAnnouncements(
                tuple(picked), len(picked) < len(versions)
            )
            self.exchange.send(announcements, address, updates=False)

    def _compare_versions(self, packet, address):
        """Request the versions that differ from the sender's, if any do.

        Requests are limited to one per ``summary_interval_s``.
        """
        if packet.version_digest == self.versions.digest:
            return
        now = self.view.now()
        if now < self.summary_sent_at + self.options.summary_interval_s:
            return
        self.summary_sent_at = now
        summary = VersionSummary(self.versions.bucket_digests())
        self.exchange.send(summary, address, updates=False)
