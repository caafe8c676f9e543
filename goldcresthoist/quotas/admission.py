"""Admission of the requests of workspaces at one daemon."""

import random
from collections import deque
from dataclasses import dataclass

__all__ = ["Admitted", "Exchange", "OverQuota", "QuotaAdmission", "Waiting"]

# Time after which a query is sent to the next counter as well.
COUNTER_TIMEOUT_S = 0.05
# Number of counters that are asked at a time, while requests have no answer. A daemon
# with few requests does not know which counters are lost, if many are.
ASKED_AT_ONCE = (1, 2, 4)
# A counter that has not answered this many queries in a row is not asked for a while,
# which doubles with each further one. Owners that are lost for long would otherwise be
# asked again and again before one that answers.
MAX_UNANSWERED = 2
SKIP_S = 1.0
MAX_SKIP_S = 8.0
# Shortest time between the starts of two queries for one group, and the longest time
# for which a query without an answer keeps the next one waiting.
MIN_INTERVAL_S = 0.01
MAX_HOLD_S = 0.05
# Interval of messages that only return tokens.
REFUND_INTERVAL_S = 0.2
# Longest time for which requests are refused without a new query.
MAX_REFUSING_S = 0.2
# Time after the start of a query in which its answers are used. Older ones were held up
# by a pause, and their tokens belong to an earlier window.
GRANT_VALID_S = 0.3
# Bounds of the times after which refused callers are told to come back.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.5
# Largest number of requests that wait for a counter, and of tokens in one message.
MAX_WAITING = 2000
MAX_TOKENS = 1000
# Size of an item in a message without the name.
ITEM_BYTES = 10
# Time for which local admission remembers that it has used its first tokens.
LOCAL_MEMORY_S = 10.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """A counter is asked; the future gets `Admitted` or `OverQuota`."""

    future: object


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The request must not run; the caller may repeat it after this time."""

    retry_after_s: float


class Exchange:
    """One query and its answers.

    Attributes
    ----------
    group : int
    number : int
        Identifies the query in messages.
    started : float
        Monotonic time.
    items : tuple of (str, int, int)
        Name, wanted and returned tokens of each workspace.
    waiting : dict
        Futures of the requests without an answer, by name of the workspace.
    counters : list of str
        Addresses to ask, in this order.
    asked, answered : list of str, set of str
    steps : int
        Number of times at which counters were asked.
    """

    __slots__ = (
        "answered",
        "asked",
        "counters",
        "group",
        "items",
        "number",
        "started",
        "steps",
        "waiting",
        "waits",
    )

    def __init__(self, group, number, started, items, waiting, counters):
        self.group = group
        self.number = number
        self.started = started
        self.items = items
        self.waiting = waiting
        self.counters = counters
        self.asked = []
        self.steps = 0
        self.answered = set()
        # Shortest wait time in seconds that a counter named, by name of the workspace.
        self.waits = {}

    def items_for(self, ip):
        """Return the items of the message to a counter.

        Only the first one that is asked gets the returned tokens, as each would add
        them to its bucket.
        """
        if ip == self.asked[0]:
            return self.items
        return tuple((name, wanted, 0) for name, wanted, _ in self.items)

    def is_settled(self):
        """Return whether no request waits any longer."""
        return not any(self.waiting.values())


class QuotaAdmission:
    """Decides which requests of workspaces may run.

    Requests wait while a counter is asked. When no counter can be reached, this daemon
    admits by its own time.

    Parameters
    ----------
    ip : str
        Address of this daemon.
    limits : QuotaLimits
    order : MemberOrder
    time_share : TimeShare
    make_future : callable
        Returns a new future.
    uniform : callable, optional
        Returns random numbers from 0 to 1.

    Attributes
    ----------
    exchanges : dict of int to Exchange
        Queries in progress.
    on_decision : callable or None
        Called with ``(workspace name, outcome)`` of each decision. The outcomes are
        "admitted", "over-quota", "admitted-locally" and "refused-locally".
    on_unreachable : callable or None
        Called with the address of each counter that is no longer asked for a while.
    """

    def __init__(
        self, ip, limits, order, time_share, make_future, uniform=random.random
    ):
        self.ip = ip
        self.limits = limits
        self.order = order
        self.time_share = time_share
        self.make_future = make_future
        self.uniform = uniform
        self.exchanges = {}
        self.on_decision = None
        self.on_unreachable = None
        self._states = {}
        # Names with requests that no query covers yet, and names with tokens to return,
        # by group.
        self._wanted = {}
        self._returned = {}
        self._waiting_count = 0
        self._last_number = 0
        self._last_start = {}
        self._unanswered = {}
        self._skipped_until = {}
        # Time that local admission has taken, by group.
        self._local_time_s = {}

    def admit(self, workspace, now):
        """Decide about one request.

        Returns
        -------
        Admitted, Waiting or OverQuota
        """
        if workspace.rate_per_s <= 0.0:
            return Admitted()
        state = self._state(workspace)
        if now < state.refusing_until:
            return self._refuse(state, now)
        group = self.order.group_of(workspace.name)
        if not self.counters(group, now) or self._waiting_count >= MAX_WAITING:
            return self._decide_locally(state, group, now)
        future = self.make_future()
        self._waiting_count += 1
        self._wanted.setdefault(group, {}).setdefault(workspace.name, deque()).append(
            future
        )
        return Waiting(future)

    def remove_others(self, names):
        """Forget workspaces that the configuration no longer has."""
        self._states = {key: item for key, item in self._states.items() if key in names}

    def counters(self, group, now):
        """Return the addresses of the counters of a group that are asked at present."""
        return [
            ip
            for ip in self.order.owners(group)
            if now >= self._skipped_until.get(ip, now)
        ]

    def due_groups(self):
        """Return the groups that need a query at the time of `due_at`."""
        return set(self._wanted) | set(self._returned)

    def due_at(self, group, now):
        """Return the monotonic time at which `begin` may be called for a group."""
        last = self._last_start.get(group, float("-inf"))
        if group not in self._wanted:
            return max(now, last + REFUND_INTERVAL_S)
        held_until = [
            item.started + MAX_HOLD_S
            for item in self.exchanges.values()
            if item.group == group and not item.answered and not item.is_settled()
        ]
        return max(now, last + MIN_INTERVAL_S, *held_until)

    def begin(self, group, max_bytes, now):
        """Start a query for the requests that wait; return the `Exchange`.

        Parameters
        ----------
        group : int
        max_bytes : int
            Largest size of the items in a message. What does not fit stays for the next
            query.
        now : float
            Monotonic seconds.
        """
        self._last_start[group] = now
        wanted = self._wanted.get(group, {})
        returned = self._returned.get(group, {})
        items, waiting, size = [], {}, 0
        for name in [*wanted, *(name for name in returned if name not in wanted)]:
            size += len(name.encode()) + ITEM_BYTES
            if items and size > max_bytes:
                break
            futures = [item for item in wanted.pop(name, ()) if not item.done()]
            tokens = returned.pop(name, 0)
            if futures or tokens:
                items.append((name, min(len(futures), MAX_TOKENS), tokens))
                waiting[name] = deque(futures)
        for by_group, left in ((self._wanted, wanted), (self._returned, returned)):
            if not left:
                by_group.pop(group, None)
        self._recount()
        self._last_number += 1
        exchange = Exchange(
            group,
            self._last_number,
            now,
            tuple(items),
            waiting,
            self.counters(group, now)[: sum(ASKED_AT_ONCE)],
        )
        self.exchanges[exchange.number] = exchange
        self._recount()
        return exchange

    def next_counters(self, exchange):
        """Return the next counters to ask; an empty list when all were asked."""
        if exchange.steps >= len(ASKED_AT_ONCE):
            return []
        first = len(exchange.asked)
        found = exchange.counters[first : first + ASKED_AT_ONCE[exchange.steps]]
        exchange.steps += 1
        exchange.asked += found
        return found

    def allotted_s(self, exchange, ip, now):
        """Return the time in seconds that a query allots to the counter it goes to.

        None is allotted to a counter that did not answer the last query, as it would be
        lost.
        """
        rank = self.order.rank(exchange.group, ip)
        if self._unanswered.get(ip) or self.ip not in self.order.owners(exchange.group):
            return 0.0
        return self.time_share.allot(exchange.group, ip, rank, now)

    def answer(self, number, ip, verdicts, now):
        """Use the answer of a counter; one to a query that has ended is dropped.

        A refusal is final only if it comes from the first counter, since a later one
        has fewer tokens.

        Parameters
        ----------
        number : int
        ip : str
            Address of the counter.
        verdicts : sequence of (int, float)
            Tokens granted and wait time in seconds, for each item of the query. The
            wait time is negative if the daemon does not count for the workspace.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether another counter should be asked at once, as this one does not know a
            workspace.
        """
        exchange = self.exchanges.get(number)
        if exchange is None or ip not in exchange.asked or ip in exchange.answered:
            return False
        if len(verdicts) != len(exchange.items):
            return False
        if now - exchange.started > GRANT_VALID_S:
            return False
        exchange.answered.add(ip)
        self._unanswered.pop(ip, None)
        unknown = False
        is_first = ip == exchange.counters[0]
        for (name, wanted, _), (granted, wait_s) in zip(exchange.items, verdicts):
            futures = exchange.waiting[name]
            left = min(granted, wanted)
            while left and futures:
                left -= _resolve(futures.popleft(), Admitted())
                self._report(name, "admitted")
            if left:
                self._add_returned(name, left)
            if not futures:
                continue
            if wait_s < 0.0:
                unknown = True
                continue
            known = exchange.waits.get(name, wait_s)
            exchange.waits[name] = min(known, wait_s)
            if is_first:
                self._refuse_all(exchange, name, now)
        if exchange.is_settled() and exchange.answered.issuperset(exchange.asked):
            del self.exchanges[number]
        self._recount()
        return unknown

    def end(self, exchange, now):
        """End a query after all counters had their time.

        Requests without an answer are decided by the shortest wait time that a counter
        has named, and locally without one.
        """
        self.exchanges.pop(exchange.number, None)
        for ip in exchange.asked:
            if ip not in exchange.answered:
                self._record_unanswered(ip, now)
        for name, futures in exchange.waiting.items():
            if name in exchange.waits:
                self._refuse_all(exchange, name, now)
            state = self._states.get(name)
            while futures:
                future = futures.popleft()
                if future.done():
                    continue
                if state is None:
                    _resolve(future, OverQuota(MAX_REFUSING_S))
                else:
                    _resolve(future, self._decide_locally(state, exchange.group, now))
        self._recount()

    def _state(self, workspace):
        state = self._states.get(workspace.name)
        if state is None:
            state = self._states[workspace.name] = _WorkspaceState(workspace)
        state.workspace = workspace
        return state

    def _add_returned(self, name, tokens):
        returned = self._returned.setdefault(self.order.group_of(name), {})
        returned[name] = min(MAX_TOKENS, returned.get(name, 0) + tokens)

    def _recount(self):
        queued = sum(
            len(futures)
            for names in self._wanted.values()
            for futures in names.values()
        )
        self._waiting_count = queued + sum(
            len(futures)
            for exchange in self.exchanges.values()
            for futures in exchange.waiting.values()
        )

    def _record_unanswered(self, ip, now):
        count = self._unanswered.get(ip, 0) + 1
        self._unanswered[ip] = count
        if count >= MAX_UNANSWERED and ip != self.ip:
            if count == MAX_UNANSWERED and self.on_unreachable is not None:
                self.on_unreachable(ip)
            skip_s = SKIP_S * 2 ** min(10, count - MAX_UNANSWERED)
            self._skipped_until[ip] = now + min(MAX_SKIP_S, skip_s)

    def _refuse_all(self, exchange, name, now):
        """Refuse the requests of a workspace as its counter has said."""
        state = self._states.get(name)
        wait_s = exchange.waits[name]
        futures = exchange.waiting[name]
        if state is not None:
            state.refusing_until = now + min(MAX_REFUSING_S, wait_s)
            state.free_at = now + wait_s
        while futures:
            verdict = OverQuota(max(MIN_RETRY_S, wait_s))
            if state is not None:
                verdict = self._refuse(state, now)
            _resolve(futures.popleft(), verdict)

    def _refuse(self, state, now, outcome="over-quota"):
        """Return a refusal; further ones name later times, up to a limit."""
        step_s = 1.0 / state.workspace.rate_per_s
        if not now <= state.free_at <= now + MAX_RETRY_S:
            state.free_at = now + step_s
        retry_s = state.free_at - now + self.uniform() * step_s
        state.free_at += step_s
        self._report(state.workspace.name, outcome)
        return OverQuota(max(MIN_RETRY_S * (1.0 + self.uniform()), retry_s))

    def _decide_locally(self, state, group, now):
        """Admit by the time of this daemon, which it allots to no counter.

        The tokens are mostly a fraction of one. They are rounded to a whole number at
        random, so that all daemons together admit as many requests as they have tokens.
        """
        owners = self.order.owners(group)
        if self.ip in owners:
            taken_s = self.time_share.take_local(group, now) / len(owners)
            taken_s += self._local_time_s.get(group, 0.0)
            self._local_time_s[group] = taken_s
        time_s = self._local_time_s.get(group, 0.0)
        workspace = state.workspace
        if now - state.local_at > LOCAL_MEMORY_S:
            state.local_tokens = self.limits.local_tokens(len(self.order.members))
            state.local_time_s = time_s
        state.local_at = now
        state.local_tokens = min(
            self.limits.local_capacity(workspace, len(owners)),
            state.local_tokens + workspace.rate_per_s * (time_s - state.local_time_s),
        )
        state.local_time_s = time_s
        if state.local_tokens >= 1.0:
            state.local_tokens -= 1.0
            admitted = True
        else:
            admitted = self.uniform() < state.local_tokens
            state.local_tokens = 0.0
        if admitted:
            self._report(workspace.name, "admitted-locally")
            return Admitted()
        return self._refuse(state, now, "refused-locally")

    def _report(self, name, outcome):
        if self.on_decision is not None:
            self.on_decision(name, outcome)


class _WorkspaceState:
    """What this daemon knows of one workspace.

    Times are in monotonic seconds. ``free_at`` is the time at which the next refused
    caller can expect a token, and ``local_at`` that of the last local decision.
    """

    __slots__ = (
        "free_at",
        "local_at",
        "local_time_s",
        "local_tokens",
        "refusing_until",
        "workspace",
    )

    def __init__(self, workspace):
        self.workspace = workspace
        self.refusing_until = self.free_at = self.local_at = float("-inf")
        self.local_tokens = self.local_time_s = 0.0


def _resolve(future, verdict):
    """Set the result unless the request has ended; return whether it was set."""
    if future.done():
        return False
    future.set_result(verdict)
    return True
