"""Failure detection: tasks that probe members and expire suspicions."""

import asyncio
import random

from goldcresthoist.gossip.exchange import new_nonce
from goldcresthoist.gossip.member import MemberState
from goldcresthoist.gossip.messages import IndirectProbe, Probe

__all__ = [
    "choose_dead",
    "dead_probes_per_s",
    "expire_suspicions",
    "probe_dead",
    "probe_members",
    "remove_expired_members",
]

# With fewer live peers than this, the lack of datagrams is more likely due to their
# failure than to the isolation of this daemon.
MIN_PEERS_FOR_ISOLATION = 3
# Number of dead members as which a lost domain counts when dead members are probed.
LOST_DOMAIN_WEIGHT = 2
# Number of dead members of a lost domain that are not removed.
RETAINED_PER_LOST_DOMAIN = 8


async def probe_members(exchange):
    """Probe one random live member per interval, endlessly."""
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
    states = _update_to_refute(view, slot)
    probe = Probe(new_nonce(), key)
    address = record.gossip_address
    timeout = options.probe_timeout_s
    if await exchange.request(probe, address, timeout, states=states):
        return
    if await _probe_indirectly(exchange, slot, record):
        return
    allowed = options.probe_timeout_s + options.indirect_timeout_s
    if view.now() - started > allowed + options.stall_threshold_s:
        # This process was stalled, so the time-outs are no evidence against the member.
        return
    if view.roster.slots.get(key) == slot and not _isolated(exchange):
        view.suspect(slot)


def _update_to_refute(view, slot):
    """Return the packed state of a suspect or dead member, which it has to refute.

    For other members, return ``b""``.
    """
    update = view.roster.update_of(slot)
    return update.pack() if update.state >= MemberState.SUSPECT else b""


async def _probe_indirectly(exchange, slot, record):
    options = exchange.options
    nonce = new_nonce()
    key = exchange.view.roster.keys[slot]
    message = IndirectProbe(nonce, key, record.gossip_address)
    answer = asyncio.get_running_loop().create_future()
    exchange.pending_replies[nonce] = answer
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
        del exchange.pending_replies[nonce]


def _isolated(exchange):
    """Return whether this daemon itself is likely to be isolated, not its peers."""
    silence_s = exchange.view.now() - exchange.last_received_at
    peers = len(exchange.view.roster.live)
    return silence_s > exchange.options.isolation_timeout_s and (
        peers >= MIN_PEERS_FOR_ISOLATION
    )


async def probe_dead(exchange):
    """Probe dead members at a low rate to detect those that have recovered."""
    view, options = exchange.view, exchange.options
    while True:
        await asyncio.sleep(options.probe_interval_s)
        if random.random() >= dead_probes_per_s(view, options):
            continue
        if (slot := choose_dead(view)) is not None:
            probe = Probe(new_nonce(), view.roster.keys[slot])
            to_refute = _update_to_refute(view, slot)
            exchange.send_to(slot, probe, states=to_refute, updates=False)


def dead_probes_per_s(view, options):
    """Return how often this daemon probes dead members, in probes per second.

    The rate is divided among all live members. A lost domain counts as
    `LOST_DOMAIN_WEIGHT` members only: one answer shows that the domain is reachable
    again, and a probe of every member would make every member send a refutation.
    """
    weight = sum(weight for _, weight in _dead_weights(view))
    return options.dead_probe_rate * weight / view.cluster_size()


def choose_dead(view):
    """Return a random dead slot, weighted as in `dead_probes_per_s`, or None."""
    domain_weights = _dead_weights(view)
    if not domain_weights:
        return None
    domains, weights = zip(*domain_weights, strict=True)
    domain = random.choices(domains, weights)[0]
    slots = [slot for slot in view.roster.dead if view.roster.domains[slot] == domain]
    return random.choice(slots)


def _dead_weights(view):
    """Return a list of (domain number, number of members that it counts as)."""
    weights = []
    for number, counts in enumerate(view.roster.domain_counts):
        if dead := counts[MemberState.DEAD]:
            lost = view.roster.domain_names[number] in view.lost_domains
            weights.append((number, min(dead, LOST_DOMAIN_WEIGHT) if lost else dead))
    return weights


async def expire_suspicions(exchange):
    """Declare suspected members dead that did not refute in time.

    Suspicions are postponed when this daemon was stalled or isolated, since it may not
    have received the refutations.
    """
    view, options = exchange.view, exchange.options
    while True:
        due = view.now() + options.expiry_interval_s
        await asyncio.sleep(options.expiry_interval_s)
        late = view.now() - due
        if late > options.stall_threshold_s:
            view.postpone_suspicions(late + view.suspicion_s())
        elif _isolated(exchange):
            view.postpone_suspicions(options.expiry_interval_s)
        else:
            view.expire_suspicions()


async def remove_expired_members(exchange):
    """Remove members that died or left longer than ``dead_retention_s`` ago."""
    view, options = exchange.view, exchange.options
    while True:
        await asyncio.sleep(options.removal_interval_s)
        expired_by_domain = {}
        for slot in view.roster.expired(view.now() - options.dead_retention_s):
            domain = view.roster.domain_of(slot)
            expired_by_domain[domain] = expired_by_domain.get(domain, 0) + 1
            # Some members of a lost domain are kept: probing them is the only way to
            # detect that the domain is reachable again.
            if (
                domain not in view.lost_domains
                or expired_by_domain[domain] > RETAINED_PER_LOST_DOMAIN
            ):
                view.roster.remove(slot)
