"""What one daemon believes of all members, and how updates change it."""

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

SUSPICION_S_PER_DECADE = 4.0
# A domain counts as lost from the share of dead members at which it is set to the
# share at which it is cleared; the gap keeps the mark while a domain returns.
LOST_SHARE = 0.5
RECOVERED_SHARE = 0.02
MIN_LOST_MEMBERS = 2


def overrides(incarnation, state, held_incarnation, held_state):
    """Return whether a state takes the place of the one that is held."""
    return (incarnation, state) > (held_incarnation, held_state)


class View:
    """The roster, the own member, running suspicions and updates to pass on.

    Parameters
    ----------
    local : Member
        The own member.
    now : callable
        Returns the time on the monotonic clock, in seconds.
    """

    def __init__(self, local, now):
        self.now = now
        self.record = MemberRecord.from_member(local)
        self.key = key_of(local.instance)
        self.check = zlib.crc32(self.record.encode()[0])
        self.incarnation = local.incarnation
        self.state = local.state
        self.roster = Roster()
        self.queue = UpdateQueue()
        self.suspicions = {}
        self.lost_domains = set()
        self.subscribers = []
        self.on_return = []
        self.encoder = msgspec.msgpack.Encoder()

    def local(self):
        """Return the own member."""
        return self.record.with_state(self.incarnation, self.state)

    def local_update(self):
        """Return the own state in the form that is sent."""
        return StateUpdate(self.key, self.check, self.incarnation, self.state)

    def population(self):
        """Return the number of live members, this daemon included."""
        return len(self.roster.live) + 1

    def digest(self):
        """Return the digest of all live members, this daemon included."""
        return self.roster.digest ^ row_digest(self.key, self.check, self.state)

    def suspicion_s(self):
        """Return how long a suspected member has to refute, in seconds."""
        return SUSPICION_S_PER_DECADE * max(1.0, log10(self.population()))

    def set_local_state(self, state):
        """Change the own state and pass it on."""
        self.state = state
        self._announce_local(full=False)

    def raise_incarnation(self, above, full=False):
        """Take an incarnation higher than ``above`` and pass it on.

        ``full`` sends the record too, for peers that may hold an older one.
        """
        self.incarnation = max(self.incarnation, above) + 1
        self._announce_local(full)

    def apply_member(self, member, spread=True):
        """Apply a full record; return whether it changed the view."""
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
            return self.apply_state(update, spread)
        return self._apply_record(record, update, slot, spread)

    def apply_state(self, update, spread=True):
        """Apply the state of a member whose record is held already."""
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
        self._on_member_change(slot, held[1], spread, full=False)
        return True

    def apply_states(self, packed, spread=True):
        """Apply packed state updates."""
        for fields in STATE_UPDATE.iter_unpack(packed):
            self.apply_state(StateUpdate(*fields), spread)

    def suspect(self, slot):
        """Suspect a member that does not answer."""
        update = self.roster.update_of(slot)
        if update.state < MemberState.SUSPECT:
            self.apply_state(update._replace(state=MemberState.SUSPECT))

    def expire_suspicions(self):
        """Declare the members dead that did not refute in time."""
        now = self.now()
        for slot in [s for s, at in self.suspicions.items() if at <= now]:
            update = self.roster.update_of(slot)
            self.apply_state(update._replace(state=MemberState.DEAD))

    def postpone_suspicions(self, seconds):
        """Give suspected members more time, after this daemon itself stood still."""
        for slot in self.suspicions:
            self.suspicions[slot] += seconds

    def overriding_update_for(self, packet):
        """Return the packed update that a packet's sender has to refute, or b""."""
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
            # Peers raised the incarnation when a partition healed.
            self.incarnation = update.incarnation
            return True
        ours = self.incarnation, self.state
        if same or not overrides(update.incarnation, update.state, *ours):
            return False
        self.raise_incarnation(update.incarnation, update.check != self.check)
        return True

    def _apply_record(self, record, update, slot, spread):
        dead_or_left = update.state in (MemberState.DEAD, MemberState.LEFT)
        if slot is None:
            # An unknown member that is gone is not added: daemons forget the dead at
            # different times and would hand them back to each other for ever.
            if dead_or_left:
                return False
            before = MemberState.LEFT
        else:
            before = self.roster.states[slot]
            held = self.roster.incarnations[slot], before
            if not overrides(update.incarnation, update.state, *held):
                return False
        slot = self.roster.put(record, update.incarnation, update.state, self.now())
        self._on_member_change(slot, before, spread, full=True)
        return True

    def _on_member_change(self, slot, before, spread, full):
        state = self.roster.states[slot]
        returns = before == MemberState.DEAD and state <= MemberState.DRAINING
        # The members of a domain that returns are passed on by sync, because as many
        # single updates would fill the queue of every daemon.
        lost = self.roster.domain_of(slot) in self.lost_domains
        if spread and not (returns and lost):
            self._enqueue(slot, full)
        self._track_suspicion(slot, state)
        self._track_domain(slot)
        if self.subscribers:
            member = self.roster.member(slot)
            for callback in tuple(self.subscribers):
                callback(member)
        if returns:
            if lost:
                # Deaths by the partition must not cross it when it heals.
                self.queue.discard_limited()
            for callback in tuple(self.on_return):
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
        """Return how often the death of a member of a lost domain is sent.

        Fewer times than other updates: there are many of them, and daemons that miss
        some take them over by sync.
        """
        dead = self.roster.states[slot] == MemberState.DEAD
        if dead and self.roster.domain_of(slot) in self.lost_domains:
            return ceil(log2(self.population() + 1))
        return None

    def _announce_local(self, full):
        if full or self._full_record_queued(self.key):
            data = self.encoder.encode(self.local())
        else:
            data = self.local_update().pack()
        self.queue.put(self.key, data, True)

    def _full_record_queued(self, key):
        """Return whether a full record waits, which a short update must not replace."""
        queued = self.queue.data_of(key)
        return queued is not None and len(queued) > STATE_UPDATE.size
