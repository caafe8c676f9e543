"""Order of the members of a fleet for each group of workspaces."""

import hashlib
import heapq
from bisect import insort

__all__ = ["OWNERS", "MemberOrder"]

# With 64 members for each group, the busiest counter of 75 daemons sent and received
# 49 KB a second at the usual load; with 8 it is 23.
MEMBERS_PER_GROUP = 8
# In a fleet of 20,000, a daemon takes some 27 ms to order the members for a group.
MAX_GROUPS = 128
# Daemons of a group that own its time. Each of them may count, the first that can be
# reached does. Each answers five polls a second while the group is in need, so their
# number bounds the messages of a counter.
OWNERS = 16
# Further members that are kept in order, so that few removals need a new sort.
SPARE = 8
DIGEST_BYTES = 8


class MemberOrder:
    """Orders the members for each group by rendezvous hashing.

    All daemons with the same members compute the same order. Only the first members of
    groups that were asked for are kept.
    """

    def __init__(self):
        self.members = set()
        # Sorted pairs of digest and address, by group.
        self._first = {}
        self._group_by_name = {}

    @property
    def groups(self):
        """Number of groups: one for each 8 members, rounded up to a power of two.

        A change of the number moves workspaces to other counters, so it must be rare.
        """
        groups = max(1, -(-len(self.members) // MEMBERS_PER_GROUP))
        return min(MAX_GROUPS, 1 << (groups - 1).bit_length())

    def add(self, ip):
        """Add a member if it is not known."""
        if ip in self.members:
            return
        before = self.groups
        self.members.add(ip)
        if self._groups_changed(before):
            return
        for group, first in self._first.items():
            insort(first, _entry(group, ip))
            del first[OWNERS + SPARE :]

    def discard(self, ip):
        """Remove a member if it is known."""
        if ip not in self.members:
            return
        before = self.groups
        self.members.discard(ip)
        if self._groups_changed(before):
            return
        for group, first in tuple(self._first.items()):
            entry = _entry(group, ip)
            if entry in first:
                first.remove(entry)
                if len(first) < OWNERS:
                    del self._first[group]

    def group_of(self, name):
        """Return the group of a workspace."""
        group = self._group_by_name.get(name)
        if group is None:
            digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()
            group = int.from_bytes(digest) % self.groups
            self._group_by_name[name] = group
        return group

    def forget_names(self):
        """Drop the cached groups, some of which may be those of removed workspaces."""
        self._group_by_name.clear()

    def owners(self, group):
        """Return the addresses of the owners of a group, in order."""
        first = self._first.get(group)
        if first is None:
            entries = (_entry(group, ip) for ip in self.members)
            first = self._first[group] = heapq.nsmallest(OWNERS + SPARE, entries)
        return [ip for _, ip in first[:OWNERS]]

    def rank(self, group, ip):
        """Return the position of an owner of a group; None for other daemons."""
        owners = self.owners(group)
        return owners.index(ip) if ip in owners else None

    def _groups_changed(self, before):
        if self.groups == before:
            return False
        self._first.clear()
        self._group_by_name.clear()
        return True


def _entry(group, ip):
    text = f"{group} {ip}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest(), ip
