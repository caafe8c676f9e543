"""Daemons with quotas on a message bus in virtual time, without a network."""

import heapq
import itertools
import random
from collections import Counter, deque
from types import SimpleNamespace

from goldcresthoist.quotas import (
    Admitted,
    OverQuota,
    QuotaLimits,
    QuotaService,
    Waiting,
)
from goldcresthoist.workspaces import Workspace, WorkspaceDirectory

__all__ = ["LIMITS", "QuotaFleet", "largest_window"]

LIMITS = QuotaLimits()
# One-way delay of a message: between failure domains of the larger deployment, and
# what the event loops add.
DELAY_S = (0.001, 0.006)


class _Channel:
    """Stands in for `FleetChannel`; sends over the bus of the fleet."""

    def __init__(self, fleet, ip):
        self.fleet = fleet
        self.ip = ip
        self.handlers = {}

    def send(self, message, ips):
        for ip in ips:
            self.fleet.deliver(self.ip, ip, message)


class _Future:
    """Future that calls back as soon as it has a result."""

    def __init__(self):
        self.result = None
        self.callback = None

    def done(self):
        return self.result is not None

    def set_result(self, verdict):
        self.result = verdict
        if self.callback is not None:
            self.callback(verdict)


class QuotaFleet:
    """Daemons that admit the requests of one workspace.

    Parameters
    ----------
    count : int
        Number of daemons.
    rate_per_s, burst : float
        Quota of the workspace ``acme``.
    loss : float
        Share of the messages that are lost.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    ran : list of float
        Time at which each admitted request began to run.
    refused : list of (float, float)
        Time and Retry-After, in seconds, of each refusal.
    sent : Counter
        Number of messages by type.
    paused_until : dict
        Time until which a daemon handles nothing, by address.
    cut : set of frozenset
        Pairs of daemons whose messages to each other are lost.
    """

    def __init__(self, count=75, rate_per_s=5.0, burst=5.0, loss=0.0, seed=1):
        self.random = random.Random(seed)
        self.now = 100.0
        self.events = []
        self.ties = itertools.count()
        self.loss = loss
        self.ips = [f"10.0.{n // 200}.{n % 200 + 1}" for n in range(count)]
        self.workspace = Workspace("acme", (), None, rate_per_s, burst)
        self.daemons = {}
        self.held = {}
        self.paused_until = {}
        self.cut = set()
        self.ran, self.refused, self.sent = [], [], Counter()
        for ip in self.ips:
            self.start(ip)

    def start(self, ip, known=None):
        """Start a daemon that knows these members, by default all."""
        service = QuotaService(
            ip,
            _Channel(self, ip),
            LIMITS,
            SimpleNamespace(add=lambda *args, **labels: None),
            SimpleNamespace(event=lambda *args, **fields: None),
            lambda: self.input_age_s(ip),
            lambda: self.now,
            lambda delay_s, call, *args: self.later(ip, delay_s, call, *args),
            _Future,
            self.random,
        )
        for other in self.ips if known is None else known:
            service.add_member(other)
        self.daemons[ip] = service
        self.configure(service)
        return service

    def configure(self, service):
        """Put the present quota in force at a daemon."""
        table = SimpleNamespace(workspaces=WorkspaceDirectory([self.workspace]))
        service.apply_table(table)

    def set_quota(self, rate_per_s, burst):
        """Put another quota in force at all daemons."""
        self.workspace = Workspace("acme", (), None, rate_per_s, burst)
        for service in self.daemons.values():
            self.configure(service)

    def counters(self):
        """Return the addresses of the first four that may count the workspace."""
        order = next(iter(self.daemons.values())).order
        return order.owners(order.group_of("acme"))[:4]

    def kill(self, ip):
        """End a daemon; its timers and messages are lost."""
        self.daemons.pop(ip, None)

    def isolate(self, side):
        """Lose all messages between these daemons and the others."""
        others = [ip for ip in self.ips if ip not in side]
        self.cut |= {frozenset(pair) for pair in itertools.product(side, others)}

    def input_age_s(self, ip):
        """Return the largest age of input, as `PauseDetector` does."""
        until, length_s = self.held.get(ip, (float("-inf"), 0.0))
        return length_s if 0.0 <= self.now - until < 0.05 else 0.0

    def pause(self, ip, length_s):
        """Pause a daemon; it handles what arrives meanwhile when it goes on."""
        self.paused_until[ip] = self.now + length_s
        self.held[ip] = (self.now + length_s, length_s)

    def at(self, time, call, *args):
        """Call a function at a virtual time."""
        heapq.heappush(self.events, (time, next(self.ties), call, args))

    def later(self, ip, delay_s, call, *args):
        """Call a function of a daemon, unless its process has ended by then."""
        self.at(self.now + delay_s, self._call, ip, self.daemons.get(ip), call, args)

    def deliver(self, sender, ip, message):
        """Send a message over the bus."""
        self.sent[type(message).__name__] += 1
        lost = frozenset((sender, ip)) in self.cut or self.random.random() < self.loss
        if not lost:
            self.at(
                self.now + self.random.uniform(*DELAY_S), self._on, sender, ip, message
            )

    def run_until(self, time):
        """Handle all events up to a virtual time."""
        while self.events and self.events[0][0] <= time:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.now = time

    def request(self, ip):
        """Send one request to a daemon."""
        service = self.daemons.get(ip)
        if service is None:
            return
        if self.now < self.paused_until.get(ip, self.now):
            self.at(self.paused_until[ip] + 0.001, self.request, ip)
            return
        verdict = service.admit(self.workspace)
        if isinstance(verdict, Waiting):
            verdict.future.callback = self._record
        else:
            self._record(verdict)

    def load(self, per_s, seconds, ips=None):
        """Schedule requests at random times from now on, over random daemons."""
        time, end = self.now, self.now + seconds
        while (time := time + self.random.expovariate(per_s)) < end:
            self.at(time, self.request, self.random.choice(ips or self.ips))

    def _record(self, verdict):
        match verdict:
            case Admitted():
                self.ran.append(self.now)
            case OverQuota(retry_after_s=retry_after_s):
                self.refused.append((self.now, retry_after_s))

    def _call(self, ip, service, call, args):
        # The first timers of a daemon are made before it is in the table.
        if service is not None and self.daemons.get(ip) is not service:
            return
        if self.now < self.paused_until.get(ip, self.now):
            self.at(self.paused_until[ip], self._call, ip, service, call, args)
        else:
            call(*args)

    def _on(self, sender, ip, message):
        service = self.daemons.get(ip)
        if service is None:
            return
        if self.now < self.paused_until.get(ip, self.now):
            self.at(self.paused_until[ip], self._on, sender, ip, message)
        else:
            service.channel.handlers[type(message)](message, sender)


def largest_window(times, window_s=LIMITS.window_s):
    """Return the largest number of times in any window of this length."""
    inside, largest = deque(), 0
    for time in sorted(times):
        inside.append(time)
        while time - inside[0] >= window_s:
            inside.popleft()
        largest = max(largest, len(inside))
    return largest
