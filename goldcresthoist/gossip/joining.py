"""Joining the cluster through seed peers."""

import asyncio
import ipaddress
import random

from goldcresthoist.config import split_address
from goldcresthoist.gossip.exchange import format_address, new_nonce
from goldcresthoist.gossip.messages import Join

__all__ = ["expand_hints", "join_peers", "rejoin_periodically", "send_join"]


def expand_hints(hints):
    """Yield random gossip addresses that match the hints, endlessly.

    Without hints, nothing is yielded.

    Parameters
    ----------
    hints : sequence of str
        Addresses ``"ip:port"`` or networks ``"ip/prefix:port"``.
    """
    networks = [_parse_hint(hint) for hint in hints]
    while networks:
        network, port = random.choice(networks)
        host = network[random.randrange(network.num_addresses)]
        yield format_address((str(host), port))


def _parse_hint(hint):
    network, port = split_address(hint)
    return ipaddress.ip_network(network, strict=False), port


async def join_peers(exchange, addresses, hints):
    """Request members from seed peers until one of them answers.

    Parameters
    ----------
    exchange : Exchange
    addresses : sequence of str
        Gossip addresses of seed peers, each tried once per round.
    hints : sequence of str
        Addresses or networks where other daemons may be reached. Random addresses from
        them are tried at a limited rate after ``addresses``.
    """
    options = exchange.options
    candidates = expand_hints(hints)
    while True:
        for address in random.sample(addresses, len(addresses)):
            if address != exchange.address and await _join_at(exchange, address):
                return
        if await _try_hints(exchange, candidates):
            return
        await asyncio.sleep(options.join_interval_s * random.uniform(0.5, 1.5))


async def rejoin_periodically(exchange, addresses, hints):
    """Send `Join` to each seed peer once, then to a random one at long intervals.

    Daemons that start at the same time may join through different seed peers, and
    would otherwise form separate clusters that never merge.
    """
    options = exchange.options
    candidates = expand_hints(hints)
    peers = [address for address in addresses if address != exchange.address]
    for address in random.sample(peers, len(peers)):
        await asyncio.sleep(options.join_interval_s * random.uniform(0.5, 1.5))
        send_join(exchange, address)
    while True:
        await asyncio.sleep(options.rejoin_interval_s * random.uniform(0.5, 1.5))
        candidate = next(candidates, exchange.address)
        for address in {candidate, *random.sample(peers, min(1, len(peers)))}:
            if address != exchange.address:
                send_join(exchange, address)


async def _try_hints(exchange, candidates):
    """Send `Join` to candidates for one second; return whether one answered."""
    options = exchange.options
    for _ in range(int(options.hints_per_s)):
        address = next(candidates, None)
        if address is None:
            return False
        if address != exchange.address:
            send_join(exchange, address)
        await asyncio.sleep(1 / options.hints_per_s)
        if exchange.view.roster.live:
            return await _join_at_member(exchange)
    return False


async def _join_at_member(exchange):
    roster = exchange.view.roster
    slots = roster.random_live(1)
    return bool(slots) and await _join_at(
        exchange, roster.record(slots[0]).gossip_address
    )


def send_join(exchange, address):
    """Send one `Join` to an address without waiting for the answer.

    The answer's members are applied when it arrives, as those of any packet.
    """
    own = exchange.view.encoder.encode(exchange.view.local())
    exchange.send(Join(new_nonce(), 0), address, members=(own,), updates=False)


async def _join_at(exchange, address):
    """Fetch members from one peer page by page; return whether it answered.

    The number of pages is limited. The rest of a large roster is fetched by the member
    sync of the control service, which can compress it.
    """
    own = exchange.view.encoder.encode(exchange.view.local())
    cursor = 0
    for _ in range(exchange.options.join_pages):
        join = Join(new_nonce(), cursor)
        timeout = exchange.options.probe_timeout_s
        reply = await exchange.request(join, address, timeout, members=(own,))
        if reply is None:
            break
        cursor = reply.cursor
        if cursor < 0:
            break
    return cursor != 0
