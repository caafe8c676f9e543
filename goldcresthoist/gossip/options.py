"""Timing and limits of gossip."""

from dataclasses import dataclass

__all__ = ["GossipOptions"]


@dataclass(frozen=True, slots=True)
class GossipOptions:
    """Times are in seconds, sizes in bytes, rates per second."""

    probe_interval_s: float = 1.0
    # Longer than the round trip between the most distant regions.
    probe_timeout_s: float = 0.5
    indirect_timeout_s: float = 0.5
    indirect_probes: int = 3
    # Probes per second that each dead member receives from all live members together.
    dead_probe_rate: float = 0.5
    dead_retention_s: float = 2 * 3600.0
    # A task that wakes up later than this was frozen with the whole process.
    stall_threshold_s: float = 1.0
    # A daemon that heard nobody for this long does not accuse others.
    isolation_timeout_s: float = 3.0
    update_interval_s: float = 0.2
    burst_interval_s: float = 0.1
    bytes_per_s: float = 6_000.0
    burst_bytes: float = 12_000.0
    datagram_bytes: int = 1200
    version_fanout: int = 4
    summary_interval_s: float = 0.5
    join_interval_s: float = 1.0
    rejoin_interval_s: float = 30.0
    join_pages: int = 32
    hints_per_s: float = 20.0
    expiry_interval_s: float = 0.5
    removal_interval_s: float = 60.0
