"""Tasks that find out which members are alive."""

import asyncio
import random

from goldcresthoist.gossip.exchange import new_nonce
from goldcresthoist.gossip.member import MemberState
from goldcresthoist.gossip.messages import IndirectProbe, Probe

__all__ = ["expire_suspicions", "forget_members", "probe_dead", "probe_members"]

# Below this many live peers, silence is more likely their failure than this daemon's.
MIN_PEERS_TO_BE_ISOLATED = 3


async def probe_members(exchange):
    """Probe one random live member per interval, for ever."""
    options = exchange.options
    while True:
        started = exchange.view.now()
        if slots := exchange.view.roster.random_live(1):
            await _probe(exchange, slots[0])
        spent = exchange.view.now() - started
        jitter = random.uniform(0.9, 1.1)
        await asyncio.sleep(max(0.0, options.probe_interval_s * jitter - spent))


async def _probe(exchange, slot):
    view, options = exchange.view, exchange.options
    key = view.roster.keys[slot]
    record = view.roster.record(slot)
    started = view.now()
    states = _accusation(view, slot)
    probe = Probe(new_nonce())
    address = record.gossip_address
    timeout = options.probe_timeout_s
    if await exchange.request(probe, address, timeout, states=states):
        return
    if await _probe_indirectly(exchange, slot, record):
        return
    allowed = options.probe_timeout_s + options.indirect_timeout_s
    if view.now() - started > allowed + options.frozen_after_s:
        return
    if view.roster.slots.get(key) == slot and not _isolated(exchange):
        view.suspect(slot)


def _accusation(view, slot):
    """Return the update that the member has to refute."""
    update = view.roster.update_of(slot)
    return update.pack() if update.state >= MemberState.SUSPECT else b""


async def _probe_indirectly(exchange, slot, record):
    options = exchange.options
    nonce = new_nonce()
    message = IndirectProbe(nonce, record.instance, record.gossip_address)
    answer = asyncio.get_running_loop().create_future()
    exchange.waiting[nonce] = answer
    try:
        for helper in exchange.view.roster.random_live(
            options.indirect_probes, exclude=(slot,)
        ):
            exchange.send_to(helper, message)
        async with asyncio.timeout(options.indirect_timeout_s):
            return await answer
    except TimeoutError:
        return None
    finally:
        del exchange.waiting[nonce]


def _isolated(exchange):
    """Return whether this daemon, and not its peers, is likely to be cut off."""
    silent = exchange.view.now() - exchange.heard_at
    peers = len(exchange.view.roster.live)
    return silent > exchange.options.isolated_after_s and (
        peers >= MIN_PEERS_TO_BE_ISOLATED
    )


async def probe_dead(exchange):
    """Probe dead members rarely, so that those that return are discovered.

    The rate falls with the number of live members that share the work.
    """
    view, options = exchange.view, exchange.options
    while True:
        await asyncio.sleep(options.probe_interval_s)
        rate = options.dead_probe_rate * len(view.roster.dead) / view.population()
        if random.random() >= rate * options.probe_interval_s:
            continue
        slot = view.roster.random_dead()
        probe = Probe(new_nonce())
        exchange.send_to(slot, probe, states=_accusation(view, slot), updates=False)


async def expire_suspicions(exchange):
    """Declare suspected members dead that did not refute in time."""
    view, options = exchange.view, exchange.options
    while True:
        due = view.now() + options.expiry_interval_s
        await asyncio.sleep(options.expiry_interval_s)
        late = view.now() - due
        if late > options.frozen_after_s:
            view.postpone_suspicions(late + view.suspicion_s())
        elif _isolated(exchange):
            view.postpone_suspicions(options.expiry_interval_s)
        else:
            view.expire_suspicions()


async def forget_members(exchange):
    """Forget members that have been dead or gone for long."""
    view, options = exchange.view, exchange.options
    while True:
        await asyncio.sleep(options.forget_interval_s)
        for slot in view.roster.expired(view.now() - options.dead_kept_s):
            view.roster.remove(slot)
