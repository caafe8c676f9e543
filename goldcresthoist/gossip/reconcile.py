"""Anti-entropy: comparison of the views of two daemons, bucket by bucket.

When a partition heals, the daemons on each side hold all members of the other side as
dead. If these members had to refute that, each of them would have to send an update to
every other daemon. Instead, the first two daemons that compare their views across the
former partition revive the members of both sides: where one of the two holds a member
as live and the other one holds it as dead *because its whole domain was lost*, both
set it to live, with the incarnation that follows the dead one. The result does not
depend on which two daemons do this, so other daemons receive it by ordinary comparison.
"""

import struct
from dataclasses import dataclass, field

from goldcresthoist.gossip.member import Member, MemberState
from goldcresthoist.gossip.messages import STATE_UPDATE, StateUpdate
from goldcresthoist.gossip.roster import SYNC_BUCKETS, row_digest
from goldcresthoist.gossip.view import overrides

__all__ = [
    "Difference",
    "apply_difference",
    "bucket_digests",
    "differing_buckets",
    "entries_of",
    "merge_entries",
]

# This flag is added to the state of a member in the entries for a peer, if the member
# is dead because its domain was lost.
LOST_FLAG = 0x80
_DIGESTS = struct.Struct(f">{SYNC_BUCKETS}Q")
_STATES = frozenset(range(MemberState.LEFT + 1))


@dataclass(slots=True)
class Difference:
    """Reply of one side to the entries of the other side.

    ``states`` are states that override those of the other side, for members whose
    record it holds. ``members`` are members whose record the other side lacks or holds
    in an older version. ``wanted`` are the keys of members whose record this side lacks
    or holds in an older version.
    """

    states: list[StateUpdate] = field(default_factory=list)
    members: list[Member] = field(default_factory=list)
    wanted: list[int] = field(default_factory=list)


def bucket_digests(view):
    """Return the digests of all buckets, 8 bytes each, local member included."""
    digests = list(view.roster.buckets)
    own = row_digest(view.key, view.check, view.state)
    digests[view.key % SYNC_BUCKETS] ^= own
    return _DIGESTS.pack(*digests)


def differing_buckets(view, digests):
    """Return the numbers of the buckets that differ from a peer's digests."""
    if len(digests) != _DIGESTS.size:
        return list(range(SYNC_BUCKETS))
    ours = _DIGESTS.unpack(bucket_digests(view))
    theirs = _DIGESTS.unpack(digests)
    return [n for n in range(SYNC_BUCKETS) if ours[n] != theirs[n]]


def entries_of(view, buckets, peer_domain):
    """Return the packed states of all members in some buckets, for a peer.

    If this daemon holds the peer's domain as lost, `LOST_FLAG` is set on the states of
    members that are dead because their domain was lost.
    """
    peer_domain_lost = peer_domain in view.lost_domains
    packed = [
        _update_with_flag(view, slot, peer_domain_lost).pack()
        for bucket in buckets
        for slot in view.roster.bucket_slots[bucket]
    ]
    if view.key % SYNC_BUCKETS in buckets:
        packed.append(view.local_update().pack())
    return b"".join(packed)


def merge_entries(view, buckets, entries, peer_domain):
    """Apply a peer's entries; return the `Difference` to send back.

    Parameters
    ----------
    view : View
    buckets : collection of int
        Numbers of the buckets that ``entries`` covers completely.
    entries : bytes
        Result of `entries_of` at the peer.
    peer_domain : str
        Failure domain of the peer.
    """
    difference = Difference()
    peer_domain_lost = peer_domain in view.lost_domains
    seen = set()
    for fields in STATE_UPDATE.iter_unpack(entries):
        update = StateUpdate(*fields)
        if update.state & ~LOST_FLAG in _STATES:
            seen.add(update.key)
            _merge(view, update, peer_domain_lost, difference)
    _add_unseen(view, buckets, seen, difference)
    return difference


def apply_difference(view, difference):
    """Apply a peer's `Difference`; return the members that it requests."""
    for member in difference.members:
        view.apply_member(member, propagate=False)
    for update in difference.states:
        _apply_update(view, update)
    return [_member_of(view, key) for key in difference.wanted if _holds(view, key)]


def _merge(view, update, peer_domain_lost, difference):
    lost = bool(update.state & LOST_FLAG)
    update = update._replace(state=update.state & ~LOST_FLAG)
    if not _holds(view, update.key):
        if update.state <= MemberState.SUSPECT:
            difference.wanted.append(update.key)
        return
    ours = _update_of(view, update.key)
    ours_lost = peer_domain_lost and _is_lost(view, ours)
    if update.check != ours.check:
        _merge_records(view, update, ours, difference)
    elif revived := _revive(ours, update, ours_lost, lost):
        _apply_update(view, revived)
    elif overrides(*update[2:], *ours[2:]):
        view.apply_state(update, propagate=False)
    held = _update_of(view, update.key)
    if held.check == update.check and overrides(*held[2:], *update[2:]):
        difference.states.append(held)


def _merge_records(view, update, ours, difference):
    if overrides(*update[2:], *ours[2:]) and update.state <= MemberState.SUSPECT:
        difference.wanted.append(update.key)
    elif overrides(*ours[2:], *update[2:]):
        difference.members.append(_member_of(view, update.key))


def _revive(ours, theirs, ours_lost, theirs_lost):
    """Return the next state of a member that one side holds as live and one as lost.

    Return None if the sides do not hold it so, or if the live incarnation is already
    higher.
    """
    if theirs_lost and ours.state <= MemberState.SUSPECT:
        live, dead = ours, theirs
    elif ours_lost and theirs.state <= MemberState.SUSPECT:
        live, dead = theirs, ours
    else:
        return None
    if live.incarnation > dead.incarnation:
        return None
    draining = live.state == MemberState.DRAINING
    state = MemberState.DRAINING if draining else MemberState.ALIVE
    return live._replace(incarnation=dead.incarnation + 1, state=state)


def _is_lost(view, update):
    slot = view.roster.slots.get(update.key)
    if slot is None or update.state != MemberState.DEAD:
        return False
    return view.roster.domain_of(slot) in view.lost_domains


def _update_with_flag(view, slot, peer_domain_lost):
    update = view.roster.update_of(slot)
    if peer_domain_lost and _is_lost(view, update):
        return update._replace(state=update.state | LOST_FLAG)
    return update


def _add_unseen(view, buckets, seen, difference):
    roster = view.roster
    for bucket in buckets:
        for slot in roster.bucket_slots[bucket]:
            live = roster.states[slot] <= MemberState.SUSPECT
            if live and roster.keys[slot] not in seen:
                difference.members.append(roster.member(slot))
    if view.key % SYNC_BUCKETS in buckets and view.key not in seen:
        difference.members.append(view.local())


def _holds(view, key):
    return key == view.key or key in view.roster.slots


def _update_of(view, key):
    if key == view.key:
        return view.local_update()
    return view.roster.update_of(view.roster.slots[key])


def _member_of(view, key):
    if key == view.key:
        return view.local()
    return view.roster.member(view.roster.slots[key])


def _apply_update(view, update):
    if update.key == view.key:
        _apply_local_update(view, update)
    else:
        view.apply_state(update, propagate=False)


def _apply_local_update(view, update):
    """Apply an update about the local member.

    If only the incarnation was raised, it is adopted without an announcement. Any other
    update is passed to `View.apply_state`, which refutes it if it overrides the local
    state.
    """
    unchanged = update.state in (MemberState.ALIVE, view.state)
    if update.check == view.check and unchanged:
        view.incarnation = max(view.incarnation, update.incarnation)
    else:
        view.apply_state(update)
