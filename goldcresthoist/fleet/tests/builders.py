"""Builders for the tests of the fleet."""

from collections import Counter

from goldcresthoist.fleet.messages import MemberRecord, RosterRequest

__all__ = ["FakeChannel", "FakeCounters", "FakeLog", "FakeStore", "make_record"]


# Rows in one answer of the fake store.
PAGE_ROWS = 10


class FakeLog:
    """Keeps events."""

    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        """Keep one event."""
        self.events.append((name, fields))


class FakeChannel:
    """Has the interface of `FleetChannel` without a network."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def send(self, message, ips):
        """Keep a message."""
        self.sent.append((message, tuple(ips)))

    def deliver(self, message, sender):
        """Hand a received message to its handler."""
        self.handlers[type(message)](message, sender)

    def ask_roster(self, ip):
        """Deliver the question of a daemon that starts."""
        self.deliver(RosterRequest(ip), ip)


class FakeStore:
    """Has the interface of `StoreClient` that the registration uses."""

    def __init__(self, rows=()):
        self.kept = dict(rows)
        self.error = None
        self.puts = 0

    async def put(self, table, values, timeout_s=1.0):
        """Write rows, or fail."""
        self.puts += 1
        if self.error is not None:
            raise self.error
        self.kept.update(values)

    async def rows(self, table, first="", timeout_s=1.0):
        """Return all rows, or fail."""
        from goldcresthoist.platform import Row, RowPage

        if self.error is not None:
            raise self.error
        keys = sorted(key for key in self.kept if key >= first)
        following = keys[PAGE_ROWS - 1] if len(keys) > PAGE_ROWS else ""
        rows = [Row(key, self.kept[key], 1, False) for key in keys[:PAGE_ROWS]]
        return RowPage(tuple(rows), 1, following)


def make_record(ip, service="ledger", born_ms=1):
    """Return a member."""
    return MemberRecord(ip, f"node-{ip}", "a", "r", service, born_ms)


class FakeCounters:
    """Adds up what is counted, by name."""

    def __init__(self):
        self.counts = Counter()

    def add(self, name, amount=1, **labels):
        """Count."""
        self.counts[name] += amount

    def total(self, name):
        """Return the sum of a counter."""
        return self.counts[name]
