"""Deterministic load on one `SlotQueue` in virtual time, for tests and measurements.

Calls keep the pace at which they start. Refused calls are not repeated.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass

from goldcresthoist.balance import AdmissionRefused, SlotCall, SlotQueue

__all__ = ["Kind", "QueueLoad"]

EXPIRY_INTERVAL_S = 0.02
PACE_REPLY_S = 0.002


@dataclass(frozen=True, slots=True)
class Kind:
    """Kind of work in a load; times in seconds, relative to the arrival of a call.

    ``workspaces`` maps names to their shares of the calls; empty for calls of
    upstreams. ``priorities`` are chosen at random.
    """

    name: str
    usual_s: float
    soft_s: float
    deadline_s: float
    per_s: float
    workspaces: dict
    priorities: tuple = (101,)
    alternatives: tuple = (0,)


class QueueLoad:
    """Runs calls of several kinds against one queue; `run` returns when all ended.

    Attributes
    ----------
    counts : Counter
        Calls by (kind, workspace, outcome); the outcomes are ``offered``, ``served``
        (ended before the deadline) and ``timely`` (before the soft deadline).
    trace : list of str
        Decisions in their order.
    """

    def __init__(self, kinds, seed, slots=5, slow=True, fair=True):
        self.kinds = {kind.name: kind for kind in kinds}
        self.random = random.Random(seed)
        self.queue = SlotQueue(slots)
        for kind in kinds * 30:
            self.queue.record(kind.name, kind.usual_s, 1.0, 1, 0.0)
        self.fair = fair
        self.slow = slow
        self.pace = 1.0
        self.now = 10.0
        self.events = []
        self.waiting = {}
        self.pace_requested = False
        self.counts = Counter()
        self.trace = []
        self.queue.request_pace = self._request_pace

    def run(self, duration_s):
        """Offer calls for ``duration_s`` seconds, and end the last ones."""
        end = self.now + duration_s
        for kind in self.kinds.values():
            self.later(self.random.expovariate(kind.per_s), self._arrive, kind, end)
        self.later(0.0, self._expire, end + 5.0)
        self.later(0.0, self._change_pace, 1.0, end)
        while self.events:
            self.now, _, action, values = heapq.heappop(self.events)
            action(*values)
            self._start_waiting()
        return self

    def abandon_oldest(self):
        """End the waiting call that arrived first, as its caller has gone."""
        if self.waiting:
            future = next(iter(self.waiting))
            del self.waiting[future]
            self.queue.abandon(future)

    def share(self, outcome, kind=None, workspaces=None):
        """Return the share of the offered calls with this outcome.

        Only the calls of one kind or of some workspaces are counted if these are given.
        """
        total = Counter()
        for key, count in self.counts.items():
            if kind in (None, key[0]) and (workspaces is None or key[1] in workspaces):
                total[key[2]] += count
        return total[outcome] / max(1, total["offered"])

    def later(self, delay_s, action, *values):
        """Call ``action(*values)`` in ``delay_s`` seconds of virtual time."""
        order = self.random.random()
        heapq.heappush(self.events, (self.now + delay_s, order, action, values))

    def _arrive(self, kind, end):
        if self.now > end:
            return
        self.later(self.random.expovariate(kind.per_s), self._arrive, kind, end)
        workspace = ""
        if kind.workspaces:
            shares = kind.workspaces
            (workspace,) = self.random.choices(list(shares), list(shares.values()))
        call = SlotCall(
            kind.name,
            self.random.choice(kind.priorities),
            self.now + kind.deadline_s,
            self.now + kind.soft_s,
            self.random.choice(kind.alternatives),
            workspace if self.fair else "",
        )
        self._count(kind, workspace, "offered")
        try:
            future = self.queue.admit(call, self.now)
        except AdmissionRefused:
            self.trace.append(f"{self.now:.4f} {kind.name} refused")
            return
        if future is None:
            self._start(call, workspace)
        else:
            self.waiting[future] = call, workspace

    def _start_waiting(self):
        for future in [item for item in self.waiting if item.done()]:
            call, workspace = self.waiting.pop(future)
            if future.exception() is None:
                self._start(call, workspace)
            else:
                self.trace.append(f"{self.now:.4f} {call.work} removed")

    def _start(self, call, workspace):
        self.trace.append(f"{self.now:.4f} {call.work} started")
        kind = self.kinds[call.work]
        taken_s = kind.usual_s * self.random.lognormvariate(0.0, 0.2) * self.pace
        taken_s = min(taken_s, max(0.0, call.deadline - self.now))
        pace_at_start = self.queue.pace.expected(self.now)
        values = call, workspace, self.now, pace_at_start, self.queue.running
        self.later(taken_s, self._end, *values)

    def _end(self, call, workspace, started, pace_at_start, running):
        taken_s = self.now - started
        self.queue.record_end(call, taken_s, pace_at_start, self.now)
        if self.now < call.deadline:
            self._count(self.kinds[call.work], workspace, "served")
            if self.now <= call.soft_deadline:
                self._count(self.kinds[call.work], workspace, "timely")
            self.queue.record(call.work, taken_s, pace_at_start, running, self.now)
        self.queue.release(self.now)

    def _expire(self, end):
        self.queue.expire(self.now)
        if self.now < end:
            self.later(EXPIRY_INTERVAL_S, self._expire, end)

    def _change_pace(self, pace, end):
        """Alternate between slow phases (a quarter of the time) and normal ones."""
        self.pace = pace
        if self.slow and self.now < end:
            is_slow = pace > 1.0
            mean_s = 0.4 if is_slow else 1.2
            values = 1.0 if is_slow else 7.0, end
            self.later(
                mean_s * self.random.uniform(0.5, 1.5), self._change_pace, *values
            )
        elif pace > 1.0:
            self.pace = 1.0

    def _request_pace(self):
        if not self.pace_requested:
            self.pace_requested = True
            self.later(PACE_REPLY_S, self._record_pace)

    def _record_pace(self):
        self.pace_requested = False
        self.queue.pace.record(self.pace, self.now)
        self.queue.dispatch(self.now)

    def _count(self, kind, workspace, outcome):
        self.counts[kind.name, workspace, outcome] += 1
