"""Timing and limits of the gossip protocol."""

from dataclasses import dataclass

__all__ = ["GossipOptions"]


@dataclass(frozen=True, slots=True)
class GossipOptions:
    """Times are in seconds, sizes in bytes, rates per second."""

    probe_interval_s: float = 1.0
    # This is longer than the round-trip time between the most distant regions.
    probe_timeout_s: float = 0.5
    indirect_timeout_s: float = 0.5
    indirect_probes: int = 3
    # Probes per second of each dead member, summed over all live members.
    dead_probe_rate: float = 0.5
    # Time after which members that are dead or have left are removed.
    dead_retention_s: float = 2 * 3600.0
    # A timer that fires this much too late means that the whole process was stalled;
    # missing answers are then no evidence against peers.
    stall_threshold_s: float = 1.0
    # A daemon that received no datagram for this long is taken to be isolated itself,
    # and suspects no members.
    isolation_timeout_s: float = 3.0
    # Interval at which queued updates are sent, and the shorter one that is used while
    # many updates are queued.
    update_interval_s: float = 0.2
    burst_interval_s: float = 0.1
    # Rate limit of sent bytes, IP and UDP headers included.
    bytes_per_s: float = 6_000.0
    burst_bytes: float = 12_000.0
    # Size up to which a datagram is filled with queued updates.
    datagram_bytes: int = 1200
    # Random members to which a new configuration version is sent.
    version_fanout: int = 4
    # Minimum interval between requests for configuration versions that differ.
    summary_interval_s: float = 0.5
    # Mean time between attempts to join.
    join_interval_s: float = 1.0
    # Mean time between join messages to seed peers after the daemon has joined.
    rejoin_interval_s: float = 30.0
    # Pages of members that are fetched from one peer.
    join_pages: int = 32
    # Addresses from hints that are tried per second.
    hints_per_s: float = 20.0
    # Interval at which suspicions are checked for expiry.
    expiry_interval_s: float = 0.5
    # Interval at which members that died or left long ago are removed.
    removal_interval_s: float = 60.0
