"""Joining by a list of first peers."""

import asyncio
import ipaddress
import random

from goldcresthoist.config import split_address
from goldcresthoist.gossip.exchange import format_address, new_nonce
from goldcresthoist.gossip.messages import Join

__all__ = ["expand_hints", "join_peers", "send_join", "rejoin_periodically"]


def expand_hints(hints):
    """Yield gossip addresses from hints, for ever and in random order.

    Parameters
    ----------
    hints : sequence of str
        ``"ip:port"`` or ``"ip/prefix:port"``.
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
    """Ask first peers for members until at least one member is known.

    Parameters
    ----------
    exchange : Exchange
    addresses : sequence of str
        Gossip addresses to try first, each once per round.
    hints : sequence of str
        Where other daemons may be; tried at a limited rate after the addresses.
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
    """Greet first peers again and again, all soon and then one now and then.

    Daemons that start at the same time may join different first peers and would
    otherwise remain in groups that never hear of each other.
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
    """Send `Join` to one second's worth of guesses; return whether one answered."""
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
    """Send one `Join` to an address; its answer is handled like any other."""
    own = exchange.view.encoder.encode(exchange.view.local())
    exchange.send(Join(new_nonce(), 0), address, members=(own,), updates=False)


async def _join_at(exchange, address):
    """Fetch members from one peer page by page; return whether it answered.

    The number of pages is limited: the rest of a large table is fetched by the
    control service, which can compress it.
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
