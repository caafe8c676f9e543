"""Tasks and helpers that pass news on to other daemons."""

import asyncio
from math import ceil, log2

from goldcresthoist.gossip.messages import Gossip, VersionRumours

__all__ = ["send_news", "spread_updates", "spread_version"]

# Updates waiting above which the shorter interval is used: as many as fit a datagram.
BURST_UPDATES = 45
DOMAIN_PEERS = 2


async def spread_updates(exchange):
    """Send new updates to random members between probes, up to the byte ceiling."""
    view, options = exchange.view, exchange.options
    while True:
        fresh = view.queue.fresh(ceil(log2(view.population() + 1)))
        burst = fresh > BURST_UPDATES
        await asyncio.sleep(
            options.burst_interval_s if burst else options.spread_interval_s
        )
        if fresh and exchange.ceiling.available(view.now()) > options.datagram_bytes:
            send_news(exchange, 1)


def send_news(exchange, peers):
    """Send waiting updates to random members at once."""
    for slot in exchange.view.roster.random_live(peers):
        exchange.send_to(slot, Gossip())


def spread_version(exchange, version, everywhere):
    """Send a configuration version to random members.

    Parameters
    ----------
    exchange : Exchange
    version : Version
    everywhere : bool
        Send it to some members of each failure domain too, as the daemon does where
        the change was made.
    """
    slots = set(exchange.view.roster.random_live(exchange.options.rumour_peers))
    if everywhere:
        slots |= _some_of_each_domain(exchange.view.roster)
    for slot in slots:
        exchange.send_to(slot, VersionRumours((version,)))


def _some_of_each_domain(roster):
    chosen, missing = set(), {}
    for number, counts in enumerate(roster.domain_counts):
        missing[number] = min(DOMAIN_PEERS, sum(counts[:3]))
    for slot in roster.random_live(len(roster.live)):
        if not any(missing.values()):
            break
        if missing[roster.domains[slot]]:
            missing[roster.domains[slot]] -= 1
            chosen.add(slot)
    return chosen
