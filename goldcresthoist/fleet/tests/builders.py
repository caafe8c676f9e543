"""Fakes and builders for the tests of the fleet."""

from collections import Counter

from goldcresthoist.fleet.messages import MemberRecord, RosterRequest
from goldcresthoist.platform import Row, RowPage, WriteConflict

__all__ = [
    "FakeChannel",
    "FakeCounters",
    "FakeLog",
    "FakeStore",
    "make_drain_row",
    "make_record",
]

# Largest number of rows in one page of the fake store.
PAGE_ROWS = 10


class FakeLog:
    """Records events."""

    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        """Record one event."""
        self.events.append((name, fields))


class FakeChannel:
    """Stands in for `FleetChannel` and records the messages that are sent."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def send(self, message, ips):
        """Record a message."""
        self.sent.append((message, tuple(ips)))

    def deliver(self, message, sender):
        """Call the handler of a message as if it had been received."""
        self.handlers[type(message)](message, sender)

    def deliver_roster_request(self, ip):
        """Deliver the roster request of a daemon that knows no members."""
        self.deliver(RosterRequest(ip), ip)


class FakeStore:
    """Stands in for the part of `StoreClient` that the registration uses.

    Attributes
    ----------
    values : dict
        Values of the rows by key.
    error : Exception or None
        Raised by each call while it is set.
    puts, reads : int
        Number of calls of `put` and of `rows`.
    era : int
        Era of the responses.
    """

    def __init__(self, rows=()):
        self.values = dict(rows)
        self.versions = Counter()
        self.error = None
        self.puts = self.reads = 0
        self.era = 0

    async def put(self, table, values, timeout_s=1.0, urgent=False):
        """Write rows, or raise ``error``."""
        self.puts += 1
        if self.error is not None:
            raise self.error
        self.values.update(values)
        self.versions.update(values.keys())

    async def remove(self, table, key, version, timeout_s=1.0):
        """Remove a row of this version, or raise ``error`` or `WriteConflict`."""
        if self.error is not None:
            raise self.error
        if self.versions[key] != version:
            raise WriteConflict("the row has another version")
        del self.values[key]

    async def rows(self, table, first="", timeout_s=1.0):
        """Return one page of rows, or raise ``error``."""
        self.reads += 1
        if self.error is not None:
            raise self.error
        keys = sorted(key for key in self.values if key >= first)
        next_key = keys[PAGE_ROWS - 1] if len(keys) > PAGE_ROWS else ""
        rows = [
            Row(key, self.values[key], self.versions[key], False)
            for key in keys[:PAGE_ROWS]
        ]
        return RowPage(tuple(rows), 1, next_key, self.era)

    async def wait_for_changes(self, table, after, wait_s):
        """Return a page without changes."""
        return RowPage((), after, era=self.era)


def make_record(ip, service="ledger", born_ms=1):
    """Return the record of a member."""
    return MemberRecord(ip, f"node-{ip}", "a", "r", service, born_ms)


class FakeCounters:
    """Sums counters by name over all labels."""

    def __init__(self):
        self.counts = Counter()

    def add(self, name, amount=1, **labels):
        """Add to a counter."""
        self.counts[name] += amount

    def total(self, name):
        """Return the sum of a counter."""
        return self.counts[name]


def make_drain_row(domain, version, value=b"{}", removed=False):
    """Return the row that drains a failure domain, or its removal."""
    return Row(f"evacuate/{domain}", b"" if removed else value, version, removed)
