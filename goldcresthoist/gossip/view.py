"""Membership state held by one daemon, and the rules by which updates change it."""

import zlib
from math import ceil, log2, log10

import msgspec

from goldcresthoist.gossip.member import MemberState
from goldcresthoist.gossip.messages import (
    STATE_UPDATE,
    MemberRecord,
    StateUpdate,
    key_of,
)
from goldcresthoist.gossip.roster import Roster, row_digest
from goldcresthoist.gossip.updates import UpdateQueue

__all__ = ["View", "overrides"]

# The suspicion timeout is this many seconds times log10 of the cluster size, and at
# least this many seconds.
SUSPICION_S_PER_DECADE = 4.0
# A failure domain is marked as lost when the share of its dead members reaches
# LOST_SHARE, and the mark is cleared when the share falls to RECOVERED_SHARE. The two
# thresholds differ so that the mark stays set while the members come back one by one.
LOST_SHARE = 0.5
RECOVERED_SHARE = 0.02
# A domain with fewer dead members than this is never marked as lost.
MIN_LOST_MEMBERS = 2


def overrides(incarnation, state, held_incarnation, held_state):
    """Return whether an update takes precedence over the state that is held.

    The higher incarnation wins; of equal incarnations, the higher `MemberState` wins.
    """
    return (incarnation, state) > (held_incarnation, held_state)


class View:
    """The local member, the roster of other members, and the updates to disseminate.

    Parameters
    ----------
    local : Member
        The member that this daemon represents.
    now : callable
        Returns the time on the monotonic clock, in seconds.
    """

    def __init__(self, local, now):
        self.now = now
        self.record = MemberRecord.from_member(local)
        self.key = key_of(local.instance)
        # CRC-32 of the encoded record. Peers compare it to find out whether they hold
        # the same record.
        self.check = zlib.crc32(self.record.encode()[0])
        self.incarnation = local.incarnation
        self.state = local.state
        self.roster = Roster()
        self.queue = UpdateQueue()
        # Slot of each suspected member -> time at which it is declared dead.
        self.suspicions = {}
        self.lost_domains = set()
        # Callbacks that get the `Member` after each change of another member.
        self.subscribers = []
        # Callbacks that get the slot of a dead member that becomes alive or draining.
        self.on_recovery = []
        self.encoder = msgspec.msgpack.Encoder()

    def local(self):
        """Return the local member."""
        return self.record.with_state(self.incarnation, self.state)

    def local_update(self):
        """Return the state of the local member as a `StateUpdate`."""
        return StateUpdate(self.key, self.check, self.incarnation, self.state)

    def cluster_size(self):
        """Return the number of live members, this daemon included."""
        return len(self.roster.live) + 1

    def digest(self):
        """Return the digest of all live members, this daemon included."""
        return self.roster.digest ^ row_digest(self.key, self.check, self.state)

    def suspicion_s(self):
        """Return the time that a suspected member has to refute, in seconds."""
        return SUSPICION_S_PER_DECADE * max(1.0, log10(self.cluster_size()))

    def set_local_state(self, state):
        """Change the state of the local member and queue the update."""
        self.state = state
        self._announce_local(full=False)

    def raise_incarnation(self, above, full=False):
        """Raise the local incarnation beyond ``above`` and queue the update.

        With ``full``, the record is sent too, for peers that may hold an older one.
        """
        self.incarnation = max(self.incarnation, above) + 1
        self._announce_local(full)

    def apply_member(self, member, propagate=True):
        """Apply a member with its record; return whether it changed the view.

        With ``propagate``, a change is queued for dissemination.
        """
        record = MemberRecord.from_member(member)
        data, check = record.encode()
        key = key_of(member.instance)
        update = StateUpdate(key, check, member.incarnation, member.state)
        if update.state > MemberState.LEFT:
            return False
        if key == self.key:
            return self._apply_to_local(update)
        slot = self.roster.slots.get(key)
        if slot is not None and self.roster.checks[slot] == check:
            return self.apply_state(update, propagate)
        return self._apply_record(record, update, slot, propagate)

    def apply_state(self, update, propagate=True):
        """Apply a state update; return whether it changed the view.

        An update is ignored when the record that it refers to is not held.
        """
        if update.state > MemberState.LEFT:
            return False
        if update.key == self.key:
            return self._apply_to_local(update)
        slot = self.roster.slots.get(update.key)
        if slot is None or self.roster.checks[slot] != update.check:
            return False
        held = self.roster.incarnations[slot], self.roster.states[slot]
        if not overrides(update.incarnation, update.state, *held):
            return False
        self.roster.set_state(slot, update.incarnation, update.state, self.now())
        self._on_member_change(slot, held[1], propagate, full=False)
        return True

    def apply_states(self, packed, propagate=True):
        """Apply packed state updates."""
        for fields in STATE_UPDATE.iter_unpack(packed):
            self.apply_state(StateUpdate(*fields), propagate)

    def suspect(self, slot):
        """Mark an alive or draining member as suspect."""
        update = self.roster.update_of(slot)
        if update.state < MemberState.SUSPECT:
            self.apply_state(update._replace(state=MemberState.SUSPECT))

    def expire_suspicions(self):
        """Declare each member dead whose suspicion timeout has passed."""
        now = self.now()
        for slot in [s for s, at in self.suspicions.items() if at <= now]:
            update = self.roster.update_of(slot)
            self.apply_state(update._replace(state=MemberState.DEAD))

    def postpone_suspicions(self, seconds):
        """Extend all suspicion timeouts.

        Used when this daemon was stalled or isolated and may have missed refutations.
        """
        for slot in self.suspicions:
            self.suspicions[slot] += seconds

    def overriding_update_for(self, packet):
        """Return the held state of a packet's sender, if it overrides the sent one.

        The sender has to refute it. The result is a packed `StateUpdate`, or ``b""``.
        """
        slot = self.roster.slot_of(packet.sender)
        if slot is None:
            return b""
        held = self.roster.update_of(slot)
        known = held.incarnation, held.state
        if overrides(*known, packet.incarnation, packet.state):
            return held.pack()
        return b""

    def _apply_to_local(self, update):
        if self.state == MemberState.LEFT:
            return False
        same = update.check == self.check and update.state == self.state
        if same and update.incarnation > self.incarnation:
            # When a partition heals, the member sync raises the incarnations of the
            # members on both sides without their involvement.
            self.incarnation = update.incarnation
            return True
        ours = self.incarnation, self.state
        if same or not overrides(update.incarnation, update.state, *ours):
            return False
        self.raise_incarnation(update.incarnation, update.check != self.check)
        return True

    def _apply_record(self, record, update, slot, propagate):
        dead_or_left = update.state in (MemberState.DEAD, MemberState.LEFT)
        if slot is None:
            # Unknown members that are dead or have left are not added: daemons remove
            # such members at different times, and would otherwise add them to each
            # other's rosters again and again.
            if dead_or_left:
                return False
            previous_state = MemberState.LEFT
        else:
            previous_state = self.roster.states[slot]
            held = self.roster.incarnations[slot], previous_state
            if not overrides(update.incarnation, update.state, *held):
                return False
        slot = self.roster.put(record, update.incarnation, update.state, self.now())
        self._on_member_change(slot, previous_state, propagate, full=True)
        return True

    def _on_member_change(self, slot, previous_state, propagate, full):
        state = self.roster.states[slot]
        recovered = previous_state == MemberState.DEAD and state <= MemberState.DRAINING
        # When a lost domain returns, its members are propagated by the member sync:
        # one update per member would fill the queue of every daemon.
        lost = self.roster.domain_of(slot) in self.lost_domains
        if propagate and not (recovered and lost):
            self._enqueue(slot, full)
        self._track_suspicion(slot, state)
        self._track_domain(slot)
        if self.subscribers:
            member = self.roster.member(slot)
            for callback in tuple(self.subscribers):
                callback(member)
        if recovered:
            if lost:
                # Deaths that the partition caused must not be sent to the other side
                # once it heals.
                self.queue.discard_limited()
            for callback in tuple(self.on_recovery):
                callback(slot)

    def _track_suspicion(self, slot, state):
        if state == MemberState.SUSPECT:
            self.suspicions[slot] = self.now() + self.suspicion_s()
        else:
            self.suspicions.pop(slot, None)

    def _track_domain(self, slot):
        number = self.roster.domains[slot]
        counts = self.roster.domain_counts[number]
        dead, total = counts[MemberState.DEAD], sum(counts[: MemberState.DEAD + 1])
        name = self.roster.domain_names[number]
        if dead >= MIN_LOST_MEMBERS and dead >= LOST_SHARE * total:
            self.lost_domains.add(name)
        elif dead <= RECOVERED_SHARE * total:
            self.lost_domains.discard(name)

    def _enqueue(self, slot, full):
        key = self.roster.keys[slot]
        if full or self._full_record_queued(key):
            data = self.encoder.encode(self.roster.member(slot))
        else:
            data = self.roster.update_of(slot).pack()
        own_service = self.roster.record(slot).service == self.record.service
        self.queue.put(key, data, own_service, self._limit_for(slot))

    def _limit_for(self, slot):
        """Return the retransmit limit of an update, or None for the default.

        The limit is lower for deaths of members of a lost domain: there are many of
        them, and daemons that miss some receive them by the member sync.
        """
        dead = self.roster.states[slot] == MemberState.DEAD
        if dead and self.roster.domain_of(slot) in self.lost_domains:
            return ceil(log2(self.cluster_size() + 1))
        return None

    def _announce_local(self, full):
        if full or self._full_record_queued(self.key):
            data = self.encoder.encode(self.local())
        else:
            data = self.local_update().pack()
        self.queue.put(self.key, data, True)

    def _full_record_queued(self, key):
        """Return whether a full record is queued.

        A state update must not replace it, since peers may lack the record.
        """
        queued = self.queue.data_of(key)
        return queued is not None and len(queued) > STATE_UPDATE.size
