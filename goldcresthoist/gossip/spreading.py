"""Dissemination of updates and configuration versions to other daemons."""

import asyncio
from math import ceil, log2

from goldcresthoist.gossip.messages import Gossip, VersionAnnouncements

__all__ = ["disseminate_updates", "disseminate_version", "send_queued_updates"]

# Number of pending updates above which the shorter send interval is used. About as many
# updates fit into one datagram.
BURST_UPDATES = 45
# Members of each failure domain to which a version is sent with ``all_domains``.
PEERS_PER_DOMAIN = 2


async def disseminate_updates(exchange):
    """Send queued updates to random members, within the byte rate limit.

    The task only sends while some update was sent fewer than ``ceil(log2(n + 1))``
    times, where n is the cluster size. Further retransmissions of an update are only
    piggybacked on other messages.
    """
    view, options = exchange.view, exchange.options
    while True:
        pending = view.queue.count_sent_below(ceil(log2(view.cluster_size() + 1)))
        burst = pending > BURST_UPDATES
        await asyncio.sleep(
            options.burst_interval_s if burst else options.update_interval_s
        )
        if (
            pending
            and exchange.rate_limiter.available(view.now()) > options.datagram_bytes
        ):
            send_queued_updates(exchange, 1)


def send_queued_updates(exchange, peers):
    """Send queued updates to ``peers`` random members immediately."""
    for slot in exchange.view.roster.random_live(peers):
        exchange.send_to(slot, Gossip())


def disseminate_version(exchange, version, all_domains):
    """Send a configuration version to random members.

    Parameters
    ----------
    exchange : Exchange
    version : Version
    all_domains : bool
        Whether to also send it to some members of each failure domain. Set at the
        daemon where the change was made.
    """
    slots = set(exchange.view.roster.random_live(exchange.options.version_fanout))
    if all_domains:
        slots |= _sample_each_domain(exchange.view.roster)
    for slot in slots:
        exchange.send_to(slot, VersionAnnouncements((version,)))


def _sample_each_domain(roster):
    chosen, missing = set(), {}
    for number, counts in enumerate(roster.domain_counts):
        missing[number] = min(PEERS_PER_DOMAIN, sum(counts[:3]))
    for slot in roster.random_live(len(roster.live)):
        if not any(missing.values()):
            break
        if missing[roster.domains[slot]]:
            missing[roster.domains[slot]] -= 1
            chosen.add(slot)
    return chosen
