"""Table of all known members other than the local one, stored as columns.

A daemon of a large fleet knows 20,000 members but uses few of them. To save memory, a
member is stored as its encoded record and a few numbers, and `Member` objects are
created on demand.
"""

import random
from array import array
from dataclasses import dataclass

import msgspec

from goldcresthoist.gossip.member import MemberState
from goldcresthoist.gossip.messages import MemberRecord, StateUpdate, key_of

__all__ = ["SYNC_BUCKETS", "DomainCount", "Roster", "row_digest"]

# Number of buckets whose digests are compared by the member sync.
SYNC_BUCKETS = 256
_MASK = (1 << 64) - 1
# Multipliers of the splitmix64 finaliser.
_MIX_1 = 0xBF58476D1CE4E5B9
_MIX_2 = 0x94D049BB133111EB
# Services whose decoded member lists are cached.
CACHED_SERVICES = 128
_LIVE = (MemberState.ALIVE, MemberState.DRAINING, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class DomainCount:
    """Number of members of one failure domain by state.

    ``alive`` includes draining members.
    """

    alive: int
    suspect: int
    dead: int


class Roster:
    """Members, indexed by key, by service and by liveness.

    Rows are addressed by *slot*, an index that does not change while the member is
    held. A *live* member is alive, draining or suspect.
    """

    def __init__(self):
        # Key -> slot.
        self.slots = {}
        # Columns, indexed by slot.
        self.keys = array("Q")
        self.records = []
        self.incarnations = array("Q")
        self.states = array("B")
        self.checks = array("I")
        self.state_changed_at = array("d")
        self.sequences = array("Q")
        self.windows = array("Q")
        self.domains = array("H")
        # Index of the slot in `live`, `dead` or `left`.
        self.positions = array("I")
        # Failure domains, indexed by the numbers in `domains`; the counts by state.
        self.domain_names = []
        self.domain_counts = []
        # Service -> slots of its members in any state.
        self.services = {}
        # Slots by state: alive, draining or suspect; dead; left.
        self.live = array("I")
        self.dead = array("I")
        self.left = array("I")
        self.free_slots = []
        # Digests of the live members: of all of them, and by bucket.
        self.digest = 0
        self.buckets = array("Q", bytes(8 * SYNC_BUCKETS))
        self.bucket_slots = [array("I") for _ in range(SYNC_BUCKETS)]
        # Service -> list of its live members.
        self.cache = {}
        self.decoder = msgspec.msgpack.Decoder(MemberRecord)

    def __len__(self):
        return len(self.slots)

    def slot_of(self, instance):
        """Return the slot of an instance, or None."""
        return self.slots.get(key_of(instance))

    def record(self, slot):
        """Return the decoded record of a slot."""
        return self.decoder.decode(self.records[slot])

    def member(self, slot):
        """Return the member in a slot."""
        record = self.record(slot)
        return record.with_state(self.incarnations[slot], self.states[slot])

    def update_of(self, slot):
        """Return the state of the member in a slot as a `StateUpdate`."""
        return StateUpdate(
            self.keys[slot],
            self.checks[slot],
            self.incarnations[slot],
            self.states[slot],
        )

    def members_of(self, service):
        """Return the live members of a service."""
        members = self.cache.get(service)
        if members is None:
            slots = self.services.get(service, ())
            members = [self.member(s) for s in slots if self.states[s] in _LIVE]
            if len(self.cache) >= CACHED_SERVICES:
                self.cache.pop(next(iter(self.cache)))
            self.cache[service] = members
        return list(members)

    def counts_by_domain(self):
        """Return a `DomainCount` per failure domain."""
        rows = zip(self.domain_names, self.domain_counts, strict=True)
        return {name: _domain_count(counts) for name, counts in rows}

    def domain_of(self, slot):
        """Return the failure domain of a slot."""
        return self.domain_names[self.domains[slot]]

    def random_live(self, count, exclude=()):
        """Return up to ``count`` different live slots, chosen at random."""
        return _sample(self.live, count, exclude)

    def live_in(self, domain):
        """Return the live slots of a failure domain."""
        if domain not in self.domain_names:
            return []
        number = self.domain_names.index(domain)
        return [slot for slot in self.live if self.domains[slot] == number]

    def put(self, record, incarnation, state, now):
        """Add a member, or replace its record and state, and return its slot."""
        data, check = record.encode()
        slot = self.slots.get(key_of(record.instance))
        if slot is None:
            return self._add(record, data, check, incarnation, state, now)
        self._remove_from_indexes(slot)
        self.records[slot] = data
        self.checks[slot] = check
        self.domains[slot] = self._domain_number(record.failure_domain)
        self._set_row(slot, incarnation, state, now)
        self._add_to_indexes(slot, record.service)
        return slot

    def set_state(self, slot, incarnation, state, now):
        """Change the state of a member."""
        if self.states[slot] == state:
            self.incarnations[slot] = incarnation
            self.cache.pop(self.record(slot).service, None)
            return
        self._remove_from_indexes(slot, keep_service=True)
        self._set_row(slot, incarnation, state, now)
        self._add_to_indexes(slot)

    def remove(self, slot):
        """Remove a member and release its slot."""
        self._remove_from_indexes(slot)
        key = self.keys[slot]
        del self.slots[key]
        self.bucket_slots[key % SYNC_BUCKETS].remove(slot)
        self.records[slot] = None
        self.sequences[slot] = self.windows[slot] = 0
        self.free_slots.append(slot)

    def expired(self, before):
        """Return the slots of members that died or left before a time."""
        kept = (*self.dead, *self.left)
        return [slot for slot in kept if self.state_changed_at[slot] < before]

    def _add(self, record, data, check, incarnation, state, now):
        slot = self.free_slots.pop() if self.free_slots else self._grow()
        key = key_of(record.instance)
        self.slots[key] = slot
        self.keys[slot] = key
        self.bucket_slots[key % SYNC_BUCKETS].append(slot)
        self.records[slot] = data
        self.checks[slot] = check
        self.domains[slot] = self._domain_number(record.failure_domain)
        self._set_row(slot, incarnation, state, now)
        self._add_to_indexes(slot, record.service)
        return slot

    def _grow(self):
        self.records.append(None)
        self.keys.append(0)
        for column in (
            self.incarnations,
            self.states,
            self.checks,
            self.state_changed_at,
        ):
            column.append(0)
        for column in (self.sequences, self.windows, self.domains, self.positions):
            column.append(0)
        return len(self.records) - 1

    def _set_row(self, slot, incarnation, state, now):
        self.incarnations[slot] = incarnation
        self.states[slot] = state
        self.state_changed_at[slot] = now

    def _domain_number(self, name):
        if name not in self.domain_names:
            self.domain_names.append(name)
            self.domain_counts.append([0] * 5)
        return self.domain_names.index(name)

    def _pool(self, slot):
        state = self.states[slot]
        if state == MemberState.DEAD:
            return self.dead
        return self.left if state == MemberState.LEFT else self.live

    def _add_to_indexes(self, slot, service=None):
        pool = self._pool(slot)
        self.positions[slot] = len(pool)
        pool.append(slot)
        self.domain_counts[self.domains[slot]][self.states[slot]] += 1
        self._toggle_digest(slot)
        if service is not None:
            self.services.setdefault(service, array("I")).append(slot)
            self.cache.pop(service, None)

    def _remove_from_indexes(self, slot, keep_service=False):
        pool = self._pool(slot)
        last = pool.pop()
        if last != slot:
            pool[self.positions[slot]] = last
            self.positions[last] = self.positions[slot]
        self.domain_counts[self.domains[slot]][self.states[slot]] -= 1
        self._toggle_digest(slot)
        service = self.record(slot).service
        self.cache.pop(service, None)
        if not keep_service:
            self._remove_from_service(slot, service)

    def _remove_from_service(self, slot, service):
        slots = self.services[service]
        slots.remove(slot)
        if not slots:
            del self.services[service]

    def _toggle_digest(self, slot):
        """Add the row to the digests or remove it: xor does both.

        The digests cover live members only and leave out incarnations. Daemons that
        remove a dead member at different times, or hold different incarnations of a
        live one, therefore still have equal digests.
        """
        if (state := self.states[slot]) not in _LIVE:
            return
        key = self.keys[slot]
        value = row_digest(key, self.checks[slot], state)
        self.digest ^= value
        self.buckets[key % SYNC_BUCKETS] ^= value


def row_digest(key, check, state):
    """Return the 64-bit hash that a live member contributes to the digests."""
    value = key ^ (check << 1 | (state == MemberState.DRAINING))
    value = (value ^ value >> 30) * _MIX_1 & _MASK
    value = (value ^ value >> 27) * _MIX_2 & _MASK
    return value ^ value >> 31


def _domain_count(counts):
    return DomainCount(
        counts[MemberState.ALIVE] + counts[MemberState.DRAINING],
        counts[MemberState.SUSPECT],
        counts[MemberState.DEAD],
    )


def _sample(pool, count, exclude):
    """Return up to ``count`` random items of ``pool`` that are not in ``exclude``.

    A large pool is not copied.
    """
    if len(pool) <= count + len(exclude):
        items = [slot for slot in pool if slot not in exclude]
        return random.sample(items, min(count, len(items)))
    chosen = set()
    while len(chosen) < count:
        slot = random.choice(pool)
        if slot not in exclude:
            chosen.add(slot)
    return list(chosen)
