"""Random choice and plain slots, in place of `goldcresthoist.balance`.

It has the interface of that package as far as the call path uses it, and is replaced
by it.
"""

import asyncio
import enum
import random

from goldcresthoist.links.frames import LoadReport

__all__ = [
    "Admission",
    "AdmissionRefused",
    "Chooser",
    "CrashSuspects",
    "Draining",
    "HedgeTimer",
    "Outcome",
    "RetryBudget",
    "Saturated",
    "UpstreamPool",
    "UpstreamView",
    "policy_named",
]


class AdmissionRefused(Exception):
    """The call was not started."""


class Saturated(AdmissionRefused):
    """No slot was free in time."""

    retry_after_s = 0.1


class Draining(AdmissionRefused):
    """The upstream takes no new work."""


class Outcome(enum.Enum):
    """How one call ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


def policy_named(name):
    """Return the name, since there is one policy."""
    return name


class UpstreamView:
    """What is known of one upstream."""

    def __init__(self, instance, failure_domain, region, now):
        self.instance = instance
        self.in_flight = 0
        self.draining = False


class UpstreamPool:
    """The upstreams of one service."""

    def __init__(self, failure_domain, region):
        self.by_instance = {}

    def __iter__(self):
        return iter(self.by_instance.values())

    def get(self, instance):
        """Return the view of that instance, or None."""
        return self.by_instance.get(instance)

    def add(self, view):
        """Add an upstream."""
        self.by_instance[view.instance] = view

    def discard(self, instance):
        """Remove an upstream."""
        self.by_instance.pop(instance, None)


class Chooser:
    """Chooses at random."""

    def __init__(self, policy):
        self.policy = policy

    def choose(self, views, rule, now, exclude=()):
        """Return a view that is not excluded, or None."""
        usable = [v for v in views if not v.draining and v not in exclude]
        return random.choice(usable) if usable else None

    def record_start(self, view, now):
        """Count a call."""
        view.in_flight += 1

    def record_end(self, view, outcome, latency_s, load, now, rule=None):
        """Count the end of a call."""
        view.in_flight -= 1

    def record_load(self, view, load, now):
        """Take over a load report."""
        view.draining = load.draining


class Admission:
    """Slots without a queue limit."""

    def __init__(self, configuration, policy):
        self.slots = configuration.slots
        self.free = asyncio.Semaphore(configuration.slots)
        self.in_flight = 0
        self.queued = 0
        self.draining = False

    def apply(self, configuration):
        """Keep the slots as they are."""

    def acquire_nowait(self, rule, deadline, now):
        """Return nothing: every call waits in `acquire`."""

    async def acquire(self, rule, deadline, now):
        """Wait for a slot."""
        if self.draining:
            raise Draining
        try:
            async with asyncio.timeout(deadline - now):
                await self.free.acquire()
        except TimeoutError as exc:
            raise Saturated("no slot was free in time") from exc
        self.in_flight += 1

    def release(self, slot, now):
        """Give a slot back."""
        self.in_flight -= 1
        self.free.release()

    def drain(self):
        """Refuse new calls."""
        self.draining = True

    def expire(self, now):
        """Do nothing: waiting calls have timeouts."""

    def report(self):
        """Return the load."""
        return LoadReport(self.in_flight, 0, self.slots, 0.0, self.draining)


class RetryBudget:
    """Allows every retry and no hedge."""

    @classmethod
    def from_configuration(cls, configuration, policy):
        """Make a budget."""
        return cls()

    def record_call(self):
        """Do nothing."""

    def try_retry(self):
        """Allow a retry."""
        return True

    def try_hedge(self):
        """Allow no hedge."""
        return False


class HedgeTimer:
    """Knows no latencies."""

    def record(self, rule, latency_s):
        """Do nothing."""

    def delay_s(self, rule):
        """Return a multiple of the usual time."""
        return 4.0 * rule.usual_s


class CrashSuspects:
    """Counts crashes by fingerprint."""

    def __init__(self):
        self.counts = {}

    def refused(self, fingerprint, now, crash_count=0):
        """Return whether the request must not run again."""
        return max(crash_count, self.counts.get(fingerprint, 0)) >= 2

    def record_crash(self, fingerprint, now):
        """Count a crash."""
        count = self.counts[fingerprint] = self.counts.get(fingerprint, 0) + 1
        return count

    def learn(self, fingerprint, count, now):
        """Take over a count."""
        if count:
            self.counts[fingerprint] = max(count, self.counts.get(fingerprint, 0))

    def try_start(self, fingerprint, now, crash_count=0):
        """Allow every request."""
        return True

    def end(self, fingerprint, succeeded):
        """Clear a suspect that succeeded."""
        if succeeded:
            self.counts.pop(fingerprint, None)
