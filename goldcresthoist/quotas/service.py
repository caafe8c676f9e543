"""Messages and timers of the quotas of one daemon."""

import asyncio
import ipaddress
import math
import random

from goldcresthoist.clock import monotonic
from goldcresthoist.fleet.messages import QuotaNotice, QuotaReply, QuotaReport
from goldcresthoist.quotas.admission import (
    COUNTER_TIMEOUT_S,
    Admitted,
    OverQuota,
    QuotaAdmission,
    Waiting,
)
from goldcresthoist.quotas.counter import TICK_S, QuotaCounter
from goldcresthoist.quotas.limits import QuotaLimits
from goldcresthoist.quotas.order import MemberOrder
from goldcresthoist.quotas.time_share import TimeShare

__all__ = ["QuotaService"]

# Size of the items in one message; with the seal and the other fields it stays under
# 1,200 bytes.
MAX_ITEMS_BYTES = 1000
# Largest values that a message may have; others are dropped.
MAX_ITEMS = 128
MAX_TOKENS = 1000
MAX_WAIT_MS = 60_000
MAX_NUMBER = 2**32
# Wait time in a message for a workspace for which the sender does not count.
UNKNOWN_WAIT_MS = -1
# Messages may have arrived during a pause of this process. After one of this length
# they are dropped, since the requests in them no longer wait.
MAX_MESSAGE_AGE_S = 0.25
# Time after which callers may repeat requests that came before the members were known.
UNKNOWN_MEMBERS_RETRY_S = 0.3
# Daemons whose last query is remembered, to drop copies. The oldest is dropped beyond.
MAX_SENDERS = 20_000
# Shortest time between two log lines on the same workspace or daemon.
LOG_INTERVAL_S = 5.0
MAX_LOG_KEYS = 1000


class QuotaService:
    """Connects the counting and the admission of this daemon to other daemons.

    Parameters
    ----------
    ip : str
        Address of this daemon.
    channel : FleetChannel
    limits : QuotaLimits
    counters, log
        See `FleetChannel`.
    input_age_s : callable
        Returns the largest age in seconds of input that is read now.
    clock : callable, optional
        Returns monotonic seconds.
    call_later : callable, optional
        ``call_later(delay_s, callback, *args)``; by default that of the running loop.
    make_future : callable, optional
        Returns a new future; by default that of the running loop.
    rng : random.Random, optional

    Attributes
    ----------
    order : MemberOrder
        Members of the fleet; the owner of this object keeps it up to date.
    counter : QuotaCounter
    admission : QuotaAdmission
    workspaces : dict of str to Workspace
        Workspaces of the configuration in force that have a limit, by name.
    members_known : callable
        Returns whether the members were read. A daemon that knows only itself would
        count for itself alone, so it refuses requests until then.
    """

    def __init__(
        self,
        ip,
        channel,
        limits,
        counters,
        log,
        input_age_s,
        clock=monotonic,
        call_later=None,
        make_future=None,
        rng=random,
    ):
        loop = None if call_later and make_future else asyncio.get_running_loop()
        self.ip = ip
        self.channel = channel
        self.counters = counters
        self.log = log
        self.input_age_s = input_age_s
        self.clock = clock
        self.call_later = call_later or loop.call_later
        self.order = MemberOrder()
        self.order.add(ip)
        self.counter = QuotaCounter(limits)
        self.time_share = TimeShare(clock())
        self.admission = QuotaAdmission(
            ip,
            limits,
            self.order,
            self.time_share,
            make_future or loop.create_future,
            rng.random,
        )
        self.admission.on_decision = self._record_decision
        self.admission.on_unreachable = self._record_unreachable
        self.workspaces = {}
        self.members_known = lambda: True
        self._number = int(ipaddress.IPv4Address(ip))
        self._run = rng.randrange(MAX_NUMBER)
        self._groups = self.order.groups
        # By address, the run and the number of the last query.
        self._last_queries = {}
        self._logged_at = {}
        # Groups with a timer that starts their next query.
        self._scheduled = set()
        self._ticking = False
        self.closed = False
        channel.handlers[QuotaReport] = self._on_report
        channel.handlers[QuotaReply] = self._on_reply
        channel.handlers[QuotaNotice] = self._on_notice

    @classmethod
    def from_settings(cls, settings, channel, counters, log, pauses):
        """Return the service of a daemon with these `NodeSettings`."""
        limits = QuotaLimits.from_bounds(settings.bounds)
        return cls(settings.ip, channel, limits, counters, log, pauses.input_age_s)

    def set_bounds(self, bounds):
        """Apply the `Bounds` of changed settings."""
        limits = QuotaLimits.from_bounds(bounds)
        self.counter.limits = self.admission.limits = limits

    def apply_table(self, table):
        """Apply the workspaces of a new `RoutingTable`."""
        directory = table.workspaces
        items = {} if directory is None else directory.by_name
        self.workspaces = {
            name: item for name, item in items.items() if item.rate_per_s > 0.0
        }
        self.counter.remove_others(self.workspaces)
        self.admission.remove_others(self.workspaces)
        self.order.forget_names()

    def add_member(self, ip):
        """Add a member of the fleet."""
        self.order.add(ip)
        self._check_groups()

    def remove_member(self, ip):
        """Remove a member of the fleet."""
        self.order.discard(ip)
        self._check_groups()

    def admit(self, workspace):
        """Decide about one request.

        Returns
        -------
        Admitted, Waiting or OverQuota
        """
        verdict = self.admission.admit(workspace, self.clock())
        if isinstance(verdict, Waiting):
            self._schedule(self.order.group_of(workspace.name))
        return verdict

    async def decide(self, workspace):
        """Return `Admitted` or `OverQuota` for one request.

        The request waits for about 0.2 s at most.
        """
        if workspace is None or workspace.rate_per_s <= 0.0:
            return Admitted()
        if not self.members_known():
            return OverQuota(UNKNOWN_MEMBERS_RETRY_S)
        verdict = self.admit(workspace)
        if isinstance(verdict, Waiting):
            verdict = await verdict.future
        return verdict

    def close(self):
        """Stop sending; requests that wait get a decision when their time is over."""
        self.closed = True

    def _check_groups(self):
        """Start afresh when the number of groups has changed."""
        if self._groups != self.order.groups:
            self._groups = self.order.groups
            self.counter.clear()
            self.time_share.reset(self.clock())

    def _schedule(self, group):
        if group not in self._scheduled:
            self._scheduled.add(group)
            now = self.clock()
            delay_s = self.admission.due_at(group, now) - now
            self.call_later(delay_s, self._start_query, group)

    def _start_query(self, group):
        self._scheduled.discard(group)
        now = self.clock()
        if group not in self.admission.due_groups():
            return
        if self.admission.due_at(group, now) > now:
            self._schedule(group)
            return
        exchange = self.admission.begin(group, MAX_ITEMS_BYTES, now)
        self._ask(exchange)
        if group in self.admission.due_groups():
            self._schedule(group)

    def _ask(self, exchange):
        """Send a query to the next counters; end it when all had their time."""
        if exchange.number not in self.admission.exchanges:
            return
        now = self.clock()
        ips = []
        if not exchange.steps or not exchange.is_settled():
            ips = self.admission.next_counters(exchange)
        if not ips:
            self.admission.end(exchange, now)
            return
        self.call_later(
            COUNTER_TIMEOUT_S, self._ask_after_timeout, exchange, exchange.steps
        )
        for ip in ips:
            report = QuotaReport(
                self._number,
                self.order.groups,
                exchange.group,
                self._run,
                exchange.number,
                int(self.admission.allotted_s(exchange, ip, now) * 1e6),
                self.time_share.is_exclusive(exchange.group, ip, now),
                exchange.items_for(ip),
            )
            if ip == self.ip:
                self._use_answer(exchange, ip, self._count(report, ip))
            else:
                self._send(report, ip)

    def _ask_after_timeout(self, exchange, steps):
        """Go on with a query unless other counters were asked meanwhile."""
        if exchange.steps == steps:
            self._ask(exchange)

    def _use_answer(self, exchange, ip, verdicts):
        verdicts = [(granted, wait_ms / 1000.0) for granted, wait_ms in verdicts]
        if self.admission.answer(exchange.number, ip, verdicts, self.clock()):
            self._ask(exchange)

    def _on_report(self, message, sender):
        if not _is_valid_report(message) or not self._is_from(message, sender):
            return
        if not message.items:
            self._allot(message, sender)
            return
        if self._is_copy(message, sender):
            return
        verdicts = self._count(message, sender)
        reply = QuotaReply(self._number, message.run, message.number, tuple(verdicts))
        self._send(reply, sender)

    def _allot(self, message, sender):
        """Add the time of an owner; return whether this daemon counts the group."""
        if message.groups != self.order.groups:
            return False
        group = message.group
        if self.order.rank(group, self.ip) is None:
            return False
        owners = self.order.owners(group)
        allotted_s = message.allotted_us / 1e6
        self.counter.allot(
            group, sender, allotted_s, message.exclusive, owners, self.clock()
        )
        return True

    def _count(self, message, sender):
        """Return the granted tokens and wait times in ms for the items of a query."""
        counts = self._allot(message, sender)
        group = message.group
        verdicts = []
        for name, wanted, returned in message.items:
            workspace = self.workspaces.get(name)
            if not counts or workspace is None or self.order.group_of(name) != group:
                verdicts.append((0, UNKNOWN_WAIT_MS))
                continue
            verdict = self.counter.take(
                group,
                workspace,
                wanted,
                returned,
                self.order.rank(group, self.ip),
                self.order.owners(group),
                self.clock(),
            )
            wait_ms = min(MAX_WAIT_MS, math.ceil(verdict.wait_s * 1000))
            verdicts.append((verdict.granted, wait_ms))
        if counts and self.order.rank(group, self.ip):
            self._log_seldom("quota counted by later owner", group=group)
        if counts and not self._ticking:
            self._ticking = True
            self.call_later(0.0, self._tick)
        return verdicts

    def _on_reply(self, message, sender):
        exchange = self.admission.exchanges.get(message.number)
        if exchange is None or message.run != self._run:
            return
        if not _is_valid_reply(message) or not self._is_from(message, sender):
            return
        rank = self.order.rank(exchange.group, sender)
        if rank is not None:
            self.time_share.hear(exchange.group, rank, self.clock())
            self._use_answer(exchange, sender, message.verdicts)

    def _on_notice(self, message, sender):
        groups = self.order.groups
        if message.groups != groups or not 0 <= message.group < groups:
            return
        rank = self.order.rank(message.group, sender)
        if rank is None or not self._is_from(message, sender):
            return
        now = self.clock()
        self.time_share.hear(message.group, rank, now)
        allotted_s = self.time_share.allot(message.group, sender, rank, now)
        answer = QuotaReport(
            self._number,
            groups,
            message.group,
            self._run,
            0,
            int(allotted_s * 1e6),
            self.time_share.is_exclusive(message.group, sender, now),
        )
        self._send(answer, sender)

    def _tick(self):
        """Poll the owners of the groups that need their time."""
        now = self.clock()
        groups = self.counter.active_groups(now)
        self._ticking = bool(groups) and not self.closed
        if not self._ticking:
            return
        self.call_later(TICK_S, self._tick)
        for group in groups:
            rank = self.order.rank(group, self.ip)
            if rank is None:
                continue
            owners = self.order.owners(group)
            due = self.counter.owners_to_poll(group, owners, now)
            if self.ip in due:
                self.time_share.hear(group, rank, now)
                allotted_s = self.time_share.allot(group, self.ip, rank, now)
                exclusive = self.time_share.is_exclusive(group, self.ip, now)
                self.counter.allot(group, self.ip, allotted_s, exclusive, owners, now)
            notice = QuotaNotice(self._number, self.order.groups, group)
            self._send(notice, *(ip for ip in due if ip != self.ip))

    def _send(self, message, *ips):
        if not self.closed and ips:
            kind = type(message).__name__
            self.counters.add("quota_messages", len(ips), kind=kind)
            self.channel.send(message, ips)

    def _is_from(self, message, sender):
        """Return whether a message is from the daemon it names, and is recent."""
        if not 0 <= message.ip < MAX_NUMBER:
            return False
        if str(ipaddress.IPv4Address(message.ip)) != sender:
            return False
        return self.input_age_s() <= MAX_MESSAGE_AGE_S

    def _is_copy(self, message, sender):
        """Return whether a query is one that was counted before, or an earlier one."""
        run, number = self._last_queries.pop(sender, (message.run, 0))
        is_copy = run == message.run and message.number <= number
        last = (run, number) if is_copy else (message.run, message.number)
        self._last_queries[sender] = last
        if len(self._last_queries) > MAX_SENDERS:
            self._last_queries.pop(next(iter(self._last_queries)))
        return is_copy

    def _record_decision(self, name, outcome):
        self.counters.add("quota_decisions", outcome=outcome)
        if outcome not in ("admitted", "admitted-locally"):
            self._log_seldom("over quota", workspace=name, outcome=outcome)

    def _record_unreachable(self, ip):
        self._log_seldom("quota counter unreachable", counter=ip)

    def _log_seldom(self, event, **fields):
        """Write a log line unless there was an equal one a short time ago."""
        now = self.clock()
        key = (event, *fields.values())
        if now - self._logged_at.get(key, float("-inf")) < LOG_INTERVAL_S:
            return
        if len(self._logged_at) >= MAX_LOG_KEYS:
            self._logged_at.clear()
        self._logged_at[key] = now
        self.log.event(event, **fields)


def _is_valid_report(message):
    """Return whether the values of a `QuotaReport` are possible."""
    return (
        0 <= message.group < message.groups
        and 0 <= message.run < MAX_NUMBER
        and 0 <= message.number < MAX_NUMBER
        and message.allotted_us >= 0
        and len(message.items) <= MAX_ITEMS
        and all(
            0 <= wanted <= MAX_TOKENS and 0 <= returned <= MAX_TOKENS
            for _, wanted, returned in message.items
        )
    )


def _is_valid_reply(message):
    """Return whether the values of a `QuotaReply` are possible."""
    return len(message.verdicts) <= MAX_ITEMS and all(
        0 <= granted <= MAX_TOKENS and UNKNOWN_WAIT_MS <= wait_ms <= MAX_WAIT_MS
        for granted, wait_ms in message.verdicts
    )
