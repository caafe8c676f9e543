"""Share of the calls of each kind that an upstream has served recently.

A kind is the work of a call with its priority.
"""

import enum

__all__ = ["KindShares", "Standing"]

# A decision of this age counts half. One upstream of the banking deployment decides
# about two calls of each work a second, so this covers some fifteen of them.
HALF_LIFE_S = 5.0
# Weight of the decisions that a kind needs before its share counts.
MIN_DECISIONS = 4.0
# A kind starves when its share is below this part of the mean share of all kinds. It
# then goes before more urgent ones until its share has risen. At 1.6 times the
# capacity, the least urgent of three kinds got 0.19 with 0.15 and 0.3, and 0.21 with
# this.
STARVING_RATIO = 0.5
# Standings are computed again after this time, and kinds with less than this weight of
# decisions are then removed.
REFRESH_S = 0.1
REMOVAL_WEIGHT = 0.01


class Standing(enum.IntEnum):
    """How a kind is served compared with the others; lower values are served first.

    Attributes
    ----------
    NORMAL
        At least as often as all less urgent kinds.
    BEHIND
        Less often than a less urgent kind.
    STARVING
        Far less often than the mean of all kinds.
    """

    NORMAL = 2
    BEHIND = 1
    STARVING = 0


class KindShares:
    """Counts the calls of each kind that were served and not served.

    Attributes
    ----------
    counts : dict
        By kind, as (work, priority): weight of the decisions, weight of those with
        which the call was served, and the time of the last one.
    """

    def __init__(self):
        self.counts = {}
        self._standings = {}
        self._refreshed_at = float("-inf")

    def record(self, work, priority, served, now):
        """Record whether a call was served; ``now`` is in monotonic seconds."""
        decided, in_time, at = self.counts.get((work, priority), (0.0, 0.0, now))
        decay = 0.5 ** ((now - at) / HALF_LIFE_S)
        self.counts[work, priority] = (
            decided * decay + 1.0,
            in_time * decay + served,
            now,
        )

    def standing(self, work, priority, now):
        """Return the `Standing` of a kind; `NORMAL` while it has few decisions."""
        return self.standings(now).get((work, priority), Standing.NORMAL)

    def standings(self, now):
        """Return the `Standing` of each kind, as (work, priority), if not `NORMAL`."""
        if now - self._refreshed_at >= REFRESH_S:
            self._refresh(now)
        return self._standings

    def shares(self, now):
        """Return the served share of each kind that has enough recent decisions."""
        return {
            kind: served / decided
            for kind, (decided, served, at) in self.counts.items()
            if decided * 0.5 ** ((now - at) / HALF_LIFE_S) >= MIN_DECISIONS
        }

    def _refresh(self, now):
        self._refreshed_at = now
        for kind, (decided, _, at) in tuple(self.counts.items()):
            if decided * 0.5 ** ((now - at) / HALF_LIFE_S) < REMOVAL_WEIGHT:
                del self.counts[kind]
        shares = self.shares(now)
        self._standings = {}
        if not shares:
            return
        starving = STARVING_RATIO * sum(shares.values()) / len(shares)
        for kind, share in shares.items():
            if share < starving:
                self._standings[kind] = Standing.STARVING
            elif any(other[1] > kind[1] and shares[other] > share for other in shares):
                self._standings[kind] = Standing.BEHIND
