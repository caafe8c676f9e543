"""Phases of the benchmark: the demand over time, and the fault of each."""

import asyncio
from dataclasses import dataclass, field

__all__ = [
    "PHASES",
    "FailFast",
    "NoFault",
    "Phase",
    "Restart",
    "SlowNeighbour",
    "StaleReports",
    "Stragglers",
    "apply_fault",
    "clear_fault",
]

# Time from the start of a phase to its fault or to its peak demand.
FAULT_AT_S = 1.0
# Time for which a lost instance is down.
RESTART_AFTER_S = 1.0
# A restarted upstream stays slow for this time after its serving daemon is ready.
COLD_START_S = 1.0
COLD_START_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class NoFault:
    """No fault."""


@dataclass(frozen=True, slots=True)
class SlowNeighbour:
    """One upstream of each service suddenly becomes slower by a factor."""

    factor: float = 4.0


@dataclass(frozen=True, slots=True)
class StaleReports:
    """Load reports arrive late and do not show their age."""

    delay_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Stragglers:
    """Some calls take many times longer than usual.

    Parameters
    ----------
    by_run : float
        Share of runs that are slow by chance: a retry or hedge of the same call is
        usually fast.
    by_request : float
        Share of calls that are slow on every upstream.
    """

    by_run: float = 0.01
    by_request: float = 0.003


@dataclass(frozen=True, slots=True)
class FailFast:
    """One upstream of each service responds with 503 at once."""


@dataclass(frozen=True, slots=True)
class Restart:
    """One instance of each service is killed and restarted, and starts cold."""


Fault = NoFault | SlowNeighbour | StaleReports | Stragglers | FailFast | Restart


@dataclass(frozen=True, slots=True)
class Phase:
    """One phase of the benchmark.

    Parameters
    ----------
    name : str
        Name in the tables and in ``bench.json``.
    demand : float
        Demand as a multiple of the capacity of each service.
    peak : float, optional
        Demand from ``FAULT_AT_S`` on.
    long_work : float
        Factor by which the rate of long work is multiplied.
    duration_s : float
        Time in which calls arrive.
    fault : Fault
        Fault that starts at ``FAULT_AT_S``.
    """

    name: str
    demand: float
    peak: float | None = None
    long_work: float = 1.0
    duration_s: float = 6.0
    fault: Fault = field(default_factory=NoFault)

    def demand_at(self, at_s):
        """Return the demand, as a multiple of capacity, at seconds from the start."""
        if self.peak is not None and at_s >= FAULT_AT_S:
            return self.peak
        return self.demand

    @property
    def stragglers_by_request(self):
        """Share of calls that are slow on every upstream."""
        match self.fault:
            case Stragglers(by_request=share):
                return share
        return 0.0


PHASES = (
    Phase("calm", 0.5),
    Phase("short-alone", 0.4, long_work=0.0, duration_s=8.0),
    Phase("short-behind-long", 0.4, long_work=3.0, duration_s=8.0),
    Phase("noisy-neighbour", 0.6, fault=SlowNeighbour()),
    Phase("stale-reports", 0.7, fault=StaleReports()),
    Phase("stragglers", 0.5, fault=Stragglers()),
    Phase("fails-fast", 0.5, fault=FailFast()),
    Phase("restart", 0.5, fault=Restart()),
    Phase("swing", 0.4, peak=1.6),
    Phase("overload", 3.0),
)


async def apply_fault(cluster, fault):
    """Start the fault at ``FAULT_AT_S``; for `Restart`, wait until it is over."""
    await asyncio.sleep(FAULT_AT_S)
    affected = cluster.first_of_each_service()
    match fault:
        case SlowNeighbour(factor=factor):
            await asyncio.to_thread(cluster.set_faults, affected, slow_factor=factor)
        case StaleReports(delay_s=delay_s):
            cluster.delay_reports(delay_s)
        case Stragglers(by_run=share):
            targets = cluster.targets
            await asyncio.to_thread(cluster.set_faults, targets, straggler_share=share)
        case FailFast():
            await asyncio.to_thread(cluster.set_faults, affected, fail_fast=True)
        case Restart():
            await _restart(cluster, affected)


async def _restart(cluster, targets):
    for target in targets:
        await asyncio.to_thread(cluster.stop, target)
    await asyncio.sleep(RESTART_AFTER_S)
    for target in targets:
        await asyncio.to_thread(cluster.start, target)
    await asyncio.to_thread(cluster.set_faults, targets, slow_factor=COLD_START_FACTOR)
    for target in targets:
        await asyncio.to_thread(cluster.await_ready, target)
    await asyncio.sleep(COLD_START_S)
    await asyncio.to_thread(cluster.set_faults, targets)


def clear_fault(cluster):
    """End all faults."""
    cluster.set_faults(cluster.targets)
    cluster.delay_reports(0.0)
