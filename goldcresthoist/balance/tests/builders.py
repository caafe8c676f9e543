"""Factories of test data for the balance package."""

import random

from goldcresthoist.balance import (
    Chooser,
    Default,
    UpstreamPool,
    UpstreamView,
    WarmUp,
)
from goldcresthoist.config.model import (
    AtMostOnce,
    Read,
    ServiceConfiguration,
    WorkRule,
)
from goldcresthoist.links.frames import LoadReport

# The last three values are the usual and the longest time in seconds, and the weight.
SHORT = WorkRule("lookup", "GET", "/lookups", Read(), 0.005, 1.0, 1.0)
BULK = WorkRule("scan", "GET", "/scans", Read(), 0.005, 1.0, 0.1)
LONG = WorkRule("settle", "POST", "/settlements", AtMostOnce(), 0.1, 5.0, 5.0)
# Requests a second that a cold upstream bears.
PER_S = 7.5


def make_configuration(work=(SHORT, BULK, LONG), **changes):
    """Return the configuration of a service with 12 slots, 4 of them for short work."""
    values = {
        "name": "souss",
        "slots": 12,
        "short_slots": 4,
        "queue_limit": 48,
        "retry_share": 0.08,
        "hedge_share": 0.05,
        "measuring_share": 0.01,
        "work": work,
    }
    return ServiceConfiguration(**(values | changes))


def make_pool(domains="aabbcc", now=0.0):
    """Return a pool in domain ``a`` with one upstream per letter, named u0, u1, ..."""
    pool = UpstreamPool("a", "north")
    for index, domain in enumerate(domains):
        pool.add(UpstreamView(f"u{index}", domain, "north", now))
    return pool


def make_chooser(policy=None, seed=7):
    """Return a chooser with a seeded random source."""
    return Chooser(policy or Default(), random.Random(seed))


def make_load(in_flight=0, queued=0, draining=False, at_ms=-1, failing=False):
    """Return a load report of an upstream with 12 slots."""
    return LoadReport(in_flight, queued, 12, 5, draining, at_ms, failing)


def make_warm_up(limit=PER_S, started_at=0.0, warm_at=None):
    """Return a `WarmUp` that has its limit and can make health checks.

    The upstream is known to be warm from ``warm_at`` on, and the rate no longer rises.
    """
    warm_up = WarmUp(started_at)
    warm_up.set_limit(limit, 1.5, 8.0, True, started_at)
    if warm_at is not None:
        warm_up.record_check(0.0, warm_at - 9.0, warm_at - 9.0)
        warm_up.is_cold(warm_at)
    return warm_up
