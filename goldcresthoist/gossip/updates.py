"""Queue of membership updates that wait to be sent with other messages."""

from math import ceil, log2

__all__ = ["UpdateQueue", "retransmit_limit"]

RETRANSMIT_FACTOR = 3


def retransmit_limit(members):
    """Return how many times one daemon sends each update."""
    return RETRANSMIT_FACTOR * max(1, ceil(log2(members + 1)))


class UpdateQueue:
    """Updates by subject, those sent least often first.

    Updates about the daemon's own service go before all others. A newer update about
    a subject replaces the older one.
    """

    def __init__(self):
        self.levels = ([], [])
        self.positions = {}
        self.limits = {}

    def __len__(self):
        return len(self.positions)

    def put(self, key, data, own_service, limit=None):
        """Add an update.

        Parameters
        ----------
        key : int
            Key of the member it is about.
        data : bytes
        own_service : bool
        limit : int, optional
            Times that this update is sent, if fewer than others.
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
        """Remove the updates that have a limit of their own."""
        for key in tuple(self.limits):
            self.discard(key)

    def data_of(self, key):
        """Return the update that waits about a member, or None."""
        if position := self.positions.get(key):
            rank, level = position
            return self.levels[rank][level][key]
        return None

    def clear(self):
        """Remove all updates."""
        self.__init__()

    def count_sent_below(self, limit):
        """Return how many updates were sent less often than ``limit`` times."""
        return sum(len(level) for rank in self.levels for level in rank[:limit])

    def take(self, size, limit):
        """Take updates for one datagram.

        Parameters
        ----------
        size : int
            Bytes available.
        limit : int
            Times that each update is sent in all.

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
