"""Phases of the benchmark: demand and faults over time."""

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

FAULT_AT_S = 1.0
RESTART_AFTER_S = 1.0
COLD_S = 1.0
COLD_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class NoFault:
    """Nothing fails."""


@dataclass(frozen=True, slots=True)
class SlowNeighbour:
    """One upstream of each service becomes slower at once."""

    factor: float = 4.0


@dataclass(frozen=True, slots=True)
class StaleReports:
    """Load reports arrive late without a sign that they are old."""

    delay_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Stragglers:
    """Some runs take many times longer than usual.

    ``by_run`` of them are slow by chance, and fast when they run again elsewhere;
    ``by_request`` are slow wherever they run.
    """

    by_run: float = 0.01
    by_request: float = 0.003


@dataclass(frozen=True, slots=True)
class FailFast:
    """One upstream of each service answers 503 at once."""


@dataclass(frozen=True, slots=True)
class Restart:
    """One instance of each service is lost, returns, and is slow at first."""


Fault = NoFault | SlowNeighbour | StaleReports | Stragglers | FailFast | Restart


@dataclass(frozen=True, slots=True)
class Phase:
    """Demand as a multiple of capacity, and one fault.

    ``peak`` replaces ``demand`` from ``FAULT_AT_S`` on.
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
        """Share of calls that are slow wherever they run."""
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
    """Put the fault in force; return when it has run its course."""
    await asyncio.sleep(FAULT_AT_S)
    some = cluster.first_of_each_service()
    match fault:
        case SlowNeighbour(factor=factor):
            await asyncio.to_thread(cluster.set_faults, some, slow_factor=factor)
        case StaleReports(delay_s=delay_s):
            cluster.delay_reports(delay_s)
        case Stragglers(by_run=share):
            targets = cluster.targets
            await asyncio.to_thread(cluster.set_faults, targets, straggler_share=share)
        case FailFast():
            await asyncio.to_thread(cluster.set_faults, some, fail_fast=True)
        case Restart():
            await _restart(cluster, some)


async def _restart(cluster, targets):
    for target in targets:
        await asyncio.to_thread(cluster.stop, target)
    await asyncio.sleep(RESTART_AFTER_S)
    for target in targets:
        await asyncio.to_thread(cluster.start, target)
    await asyncio.to_thread(cluster.set_faults, targets, slow_factor=COLD_FACTOR)
    for target in targets:
        await asyncio.to_thread(cluster.await_ready, target)
    await asyncio.sleep(COLD_S)
    await asyncio.to_thread(cluster.set_faults, targets)


def clear_fault(cluster):
    """End all faults."""
    cluster.set_faults(cluster.targets)
    cluster.delay_reports(0.0)
