"""Fakes for the collaborators of the call path."""

from collections import Counter

from goldcresthoist.daemon.ledger import (
    AnswerRecorded,
    OperationRefused,
    OperationStarted,
)

__all__ = ["FakeLedger", "FixedConfigurations", "FixedDirectory", "PlainCounters"]


class PlainCounters:
    """Counts in a dictionary."""

    def __init__(self):
        self.values = Counter()

    def add(self, name, amount=1, **labels):
        """Add to one counter."""
        self.values[name, *sorted(labels.items())] += amount

    def observe(self, name, seconds, **labels):
        """Count a latency without keeping it."""
        self.values[name, *sorted(labels.items())] += 1

    def total(self, name):
        """Return the sum over all labels."""
        return sum(value for key, value in self.values.items() if key[0] == name)


class FixedDirectory:
    """A directory whose members change only when a test says so."""

    def __init__(self, members):
        self.members = list(members)

    def members_of(self, service):
        """Return the members of one service."""
        return [member for member in self.members if member.service == service]


class FixedConfigurations:
    """A configuration holder with fixed content."""

    def __init__(self, services):
        self.services = {service.name: service for service in services}

    def service(self, name):
        """Return the configuration of one service, or None."""
        return self.services.get(name)


class FakeLedger:
    """Keeps operation records in memory."""

    def __init__(self):
        self.answers = {}
        self.digests = {}

    async def start(self, service, key, digest):
        """Write a record unless there is one."""
        name = (service, key)
        if self.digests.setdefault(name, digest) != digest:
            return OperationRefused("key-conflict", "the key names another request")
        if name not in self.answers:
            self.answers[name] = None
            return OperationStarted(name)
        answer = self.answers[name]
        if isinstance(answer, AnswerRecorded):
            return answer
        code = answer or "operation-running"
        return OperationRefused(code, "the operation was started before")

    async def finish(self, token, status, headers, body):
        """Record the answer."""
        self.answers[token] = AnswerRecorded(status, headers, body)

    async def finish_unknown(self, token):
        """Record that there is no answer."""
        self.answers[token] = "operation-unknown"
