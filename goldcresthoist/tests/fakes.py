"""Fakes of the components that the call path depends on."""

from collections import Counter

from goldcresthoist.daemon.ledger import (
    OperationRefused,
    OperationStarted,
    ResponseRecorded,
)

__all__ = ["FakeLedger", "FixedConfigurations", "FixedDirectory", "PlainCounters"]


class PlainCounters:
    """Counters that are kept in a dictionary."""

    def __init__(self):
        self.values = Counter()

    def add(self, name, amount=1, **labels):
        """Add an amount to a counter."""
        self.values[name, *sorted(labels.items())] += amount

    def observe(self, name, seconds, **labels):
        """Count an observation; its value is not kept."""
        self.values[name, *sorted(labels.items())] += 1

    def total(self, name):
        """Return the sum of a counter over all its labels."""
        return sum(value for key, value in self.values.items() if key[0] == name)


class FixedDirectory:
    """A member directory that changes only when a test changes it."""

    def __init__(self, members):
        self.members = list(members)

    def members_of(self, service):
        """Return the members of one service."""
        return [member for member in self.members if member.service == service]


class FixedConfigurations:
    """A source of configurations that never change."""

    def __init__(self, services):
        self.services = {service.name: service for service in services}

    def service(self, name):
        """Return the configuration of one service, or None."""
        return self.services.get(name)


class FakeLedger:
    """An operation ledger in memory."""

    def __init__(self):
        # By (service, key): None while the operation runs, then its `ResponseRecorded`,
        # or the refusal code "operation-unknown".
        self.answers = {}
        self.digests = {}

    async def start(self, service, key, digest):
        """Record the start of an operation unless the key has been used before.

        Returns
        -------
        OperationStarted
            If the key is new. Its token identifies the operation in the other methods.
        ResponseRecorded
            If the operation has finished with a response.
        OperationRefused
            If the key was used with another digest, or the operation has no response.
        """
        name = (service, key)
        if self.digests.setdefault(name, digest) != digest:
            return OperationRefused(
                "key-conflict", "the key was used for another request"
            )
        if name not in self.answers:
            self.answers[name] = None
            return OperationStarted(name)
        answer = self.answers[name]
        if isinstance(answer, ResponseRecorded):
            return answer
        code = answer or "operation-running"
        return OperationRefused(code, "the operation has already been started")

    async def finish(self, token, status, headers, body):
        """Record the response."""
        self.answers[token] = ResponseRecorded(status, headers, body)

    async def finish_unknown(self, token):
        """Record that the outcome is unknown."""
        self.answers[token] = "operation-unknown"
