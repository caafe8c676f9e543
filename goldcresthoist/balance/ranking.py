"""Order of the calls that wait for a slot of an upstream.

Calls without a workspace are served by length (short work first), then priority, then
age. Calls that can no longer meet their soft deadline rank below those that can, unless
their work is short.

If a call with a workspace is compared with any other, they are ordered by

1. the standing of their kinds (see `kind_shares`): a kind that starves, then one that
   is served less often than a less urgent kind, then the others,
2. whether the call can still meet its soft deadline, or is short,
3. whether the call can wait: short work, then other work, then work that can outlast a
   slow phase,
4. the priority,
5. the recent use of the workspace, including its calls ahead in the queue,
6. age.

The standing makes the priority come first in the shares that are served, over all
kinds of work, without refusing short work for the few milliseconds that it takes.
"""

from goldcresthoist.balance.fair_share import FairShare
from goldcresthoist.balance.kind_shares import KindShares

__all__ = ["CallRanking"]

# Work can outlast a slow phase when the time until its soft deadline exceeds its usual
# time by at least this many seconds, twice the mean remaining time of a slow phase.
MIN_SLACK_S = 0.8


class CallRanking:
    """Ranks the calls of one queue.

    Parameters
    ----------
    usual_s : callable
        ``usual_s(call, now)`` returns the usual time of the call's work in seconds.
    is_short : callable
        ``is_short(work)`` returns whether the work is short.

    Attributes
    ----------
    fair_share : FairShare
        Recent use of the workspaces.
    kinds : KindShares
        Served shares of the kinds of work; only kept once a call with a workspace has
        arrived.
    has_workspaces : bool
        Whether a call with a workspace has arrived.
    """

    def __init__(self, usual_s, is_short):
        self.usual_s = usual_s
        self.is_short = is_short
        self.fair_share = FairShare()
        self.kinds = KindShares()
        self.has_workspaces = False

    def observe(self, call):
        """Note whether calls carry workspaces."""
        if call.workspace:
            self.has_workspaces = True

    def record_start(self, call, now):
        """Charge the usual time of a call that starts to its workspace."""
        if call.workspace:
            self.fair_share.charge(call.workspace, self.usual_s(call, now), now)

    def record_end(self, call, used_s, now):
        """Record the end of a call, and correct what its workspace was charged.

        ``used_s`` is the time for which it held a slot, in seconds at normal pace; 0
        when it was not sent to the upstream.
        """
        if call.workspace:
            difference_s = used_s - self.usual_s(call, now)
            self.fair_share.correct(call.workspace, difference_s, now)
        if used_s > 0.0:
            self._record_outcome(call, now < call.deadline, now)

    def record_refusal(self, call, now):
        """Record that a call was refused although no other upstream can run it."""
        if call.alternatives == 0:
            self._record_outcome(call, False, now)

    def can_wait(self, call, now):
        """Return whether a call with a workspace can outlast a slow phase in time."""
        left_s = min(call.soft_deadline, call.deadline) - now
        return bool(call.workspace) and left_s - self.usual_s(call, now) >= MIN_SLACK_S

    def is_full(self, call, waiting, places, now):
        """Return whether a new call finds no place in the queue.

        Calls that can wait and all others have ``places`` each, so that neither is
        refused for the number of the other.
        """
        can_wait = self.can_wait(call, now)
        return sum(item.can_wait == can_wait for item in waiting) >= places

    def next(self, waiting, now):
        """Return the waiter that is served first; ``waiting`` must not be empty."""
        others = [item for item in waiting if not item.call.workspace]
        first = None
        if others:
            first = min(others, key=lambda item: self._plain_key(item, now))
        if len(others) == len(waiting):
            return first
        keys = self._keys(waiting, now)
        candidates = [item for item in waiting if item.call.workspace]
        if first is not None:
            candidates.append(first)
        return min(candidates, key=keys.__getitem__)

    def without_blocked(self, waiting, blocked):
        """Return the calls that may start before a waiter that cannot start now.

        Calls of the same work cannot start either, and calls without a workspace do not
        pass each other.
        """
        call = blocked.call
        return [
            item
            for item in waiting
            if item is not blocked
            and (
                item.call.work != call.work
                if item.call.workspace
                else bool(call.workspace)
            )
        ]

    def count_before(self, call, waiting, now):
        """Return the number of waiting calls that are served before a new call."""
        if not _any_workspace(call, waiting):
            rank = self._plain_rank(call, now)
            return sum(self._plain_rank(item.call, now) <= rank for item in waiting)
        keys = self._keys(waiting, now)
        key = self._new_key(call, waiting, now)
        plain = self._plain_rank(call, now)
        return sum(
            keys[item] <= key
            if call.workspace or item.call.workspace
            else self._plain_rank(item.call, now) <= plain
            for item in waiting
        )

    def select_victim(self, call, waiting, now):
        """Return the waiter that is refused in favour of a new call, or None.

        Without workspaces, it is the newest of the least urgent calls. Only calls that
        are less urgent than the new one are considered: those of lower priority, late
        ones if the new call is not late, and those of other work if the new call is
        short. With workspaces, it is the last of the calls that rank lower, or of those
        with the same rank whose workspace has used more by at least that call.

        Returns
        -------
        Waiter or None
            None when no waiting call is less urgent.
        """
        plain = [
            item
            for item in waiting
            if not call.workspace
            and not item.call.workspace
            and self._is_less_urgent(item.call, call, now)
        ]
        victim = None
        if plain:
            victim = max(
                plain,
                key=lambda item: (
                    self._plain_rank(item.call, now)[0],
                    item.call.priority,
                    item.order,
                ),
            )
        if not _any_workspace(call, waiting):
            return victim
        keys = self._keys(waiting, now)
        rank, used_s, _ = self._new_key(call, waiting, now)
        can_wait = self.can_wait(call, now)
        candidates = [] if victim is None else [victim]
        for item in waiting:
            if item.can_wait != can_wait:
                # It has a place of its own, and the new call does not wait for it.
                continue
            other_rank, other_used_s, _ = keys[item]
            if not (call.workspace or item.call.workspace):
                continue
            margin_s = self.usual_s(item.call, now)
            if other_rank > rank or (
                other_rank == rank and other_used_s > used_s + margin_s
            ):
                candidates.append(item)
        return max(candidates, key=keys.__getitem__, default=None)

    def by_use(self, waiting, now):
        """Return the calls by the use of their workspaces, equal ones by age.

        The calls of a workspace that are ahead of a call count as its use.
        """
        queued_s = {}
        keys = {
            item: (self._use_s(item.call, queued_s, now), item.order)
            for item in sorted(waiting, key=lambda item: item.order)
        }
        return sorted(keys, key=keys.get)

    def _plain_rank(self, call, now):
        """Return whether the call is late and not short, its length and its priority.

        The length is 0 for short and 1 for other work.
        """
        late = now + self.usual_s(call, now) > call.soft_deadline
        short = self.is_short(call.work)
        return (late and not short, 0 if short else 1, call.priority)

    def _plain_key(self, waiter, now):
        return (*self._plain_rank(waiter.call, now), waiter.order)

    def _is_less_urgent(self, call, than, now):
        return (
            call.priority > than.priority
            or (self.is_short(than.work) and not self.is_short(call.work))
            or self._plain_rank(call, now)[0] > self._plain_rank(than, now)[0]
        )

    def _rank(self, call, can_wait, now):
        """Return the parts 1 to 4 of the order of calls with workspaces."""
        late, length, priority = self._plain_rank(call, now)
        standing = self.kinds.standing(call.work, priority, now)
        return (standing.value, late, length + can_wait, priority)

    def _keys(self, waiting, now):
        """Return the rank, the use in seconds and the order of each waiting call."""
        ranked = [
            (self._rank(item.call, item.can_wait, now), item.order, item)
            for item in waiting
        ]
        queued_s = {}
        keys = {}
        for rank, order, item in sorted(ranked, key=lambda entry: entry[:2]):
            keys[item] = (rank, self._use_s(item.call, queued_s, now), order)
        return keys

    def _new_key(self, call, waiting, now):
        """Return the key of a new call, which is behind its workspace's other calls."""
        rank = self._rank(call, self.can_wait(call, now), now)
        queued_s = {}
        for item in waiting:
            if item.call.workspace == call.workspace != "" and (
                self._rank(item.call, item.can_wait, now) <= rank
            ):
                self._use_s(item.call, queued_s, now)
        return (rank, self._use_s(call, queued_s, now), float("inf"))

    def _use_s(self, call, queued_s, now):
        """Return the use of the workspace before the call, and count the call."""
        workspace = call.workspace
        if not workspace:
            return self.fair_share.level_s(now)
        ahead_s = queued_s.get(workspace, 0.0)
        queued_s[workspace] = ahead_s + self.usual_s(call, now)
        return self.fair_share.use_s(workspace, now) + ahead_s

    def _record_outcome(self, call, served, now):
        if self.has_workspaces:
            self.kinds.record(call.work, call.priority, served, now)


def _any_workspace(call, waiting):
    return bool(call.workspace) or any(item.call.workspace for item in waiting)
