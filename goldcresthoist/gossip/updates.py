"""Queue of membership updates to piggyback on other messages."""

from math import ceil, log2

__all__ = ["UpdateQueue", "retransmit_limit"]

RETRANSMIT_FACTOR = 3


def retransmit_limit(members):
    """Return how many times a daemon sends each update in a cluster of this size."""
    return RETRANSMIT_FACTOR * max(1, ceil(log2(members + 1)))


class UpdateQueue:
    """At most one update per member, ordered by how often it was sent.

    Updates about members of the daemon's own service come first; within each of the
    two groups, those sent least often come first. A newer update about a member
    replaces the older one.
    """

    def __init__(self):
        # Updates by rank (0 for the own service, 1 for others), then by level, the
        # number of times sent, then by key.
        self.levels = ([], [])
        # Key -> (rank, level).
        self.positions = {}
        # Key -> retransmit limit, for updates with a limit of their own.
        self.limits = {}

    def __len__(self):
        return len(self.positions)

    def put(self, key, data, own_service, limit=None):
        """Add an update.

        Parameters
        ----------
        key : int
            Key of the member that the update is about.
        data : bytes
            The encoded update.
        own_service : bool
            Whether the member belongs to the daemon's own service.
        limit : int, optional
            Retransmit limit of this update, if lower than that of others.
        """
        self.discard(key)
        if limit is not None:
            self.limits[key] = limit
        self._insert(key, data, 0 if own_service else 1, 0)

    def discard(self, key):
        """Remove the update about a member, if there is one."""
        if position := self.positions.pop(key, None):
            rank, level = position
            del self.levels[rank][level][key]
            self.limits.pop(key, None)

    def discard_limited(self):
        """Remove the updates that have a retransmit limit of their own."""
        for key in tuple(self.limits):
            self.discard(key)

    def data_of(self, key):
        """Return the queued update about a member, or None."""
        if position := self.positions.get(key):
            rank, level = position
            return self.levels[rank][level][key]
        return None

    def clear(self):
        """Remove all updates."""
        self.__init__()

    def count_sent_below(self, limit):
        """Return the number of updates that were sent fewer than ``limit`` times."""
        return sum(len(level) for rank in self.levels for level in rank[:limit])

    def take(self, size, limit):
        """Return updates for one datagram and count them as sent.

        Parameters
        ----------
        size : int
            Bytes available.
        limit : int
            Retransmit limit; updates that reach it are removed.

        Returns
        -------
        list of bytes
        """
        picked = list(self._pick(size))
        for key, data, rank, level in picked:
            del self.levels[rank][level][key]
            del self.positions[key]
            if level + 1 < min(limit, self.limits.get(key, limit)):
                self._insert(key, data, rank, level + 1)
            else:
                self.limits.pop(key, None)
        return [data for _, data, _, _ in picked]

    def _pick(self, size):
        for rank, levels in enumerate(self.levels):
            for level, updates in enumerate(levels):
                for key, data in updates.items():
                    if len(data) > size:
                        return
                    size -= len(data)
                    yield key, data, rank, level

    def _insert(self, key, data, rank, level):
        levels = self.levels[rank]
        while len(levels) <= level:
            levels.append({})
        levels[level][key] = data
        self.positions[key] = (rank, level)
