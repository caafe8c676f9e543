"""Configuration of a new daemon while the table is away."""

import asyncio
import random
from dataclasses import dataclass

from loguru import logger

from goldcresthoist.control.errors import ControlError

__all__ = ["CaughtUp", "catch_up"]

# Members asked in each failure domain. A second one covers a first one that has just
# started itself or does not answer.
MEMBERS_PER_DOMAIN = 2
TRIES_PER_DOMAIN = 4
TEAMS_PER_FETCH = 256
FETCH_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class CaughtUp:
    """Result of `catch_up`.

    ``answered`` and ``silent`` are failure domains; ``missing`` are teams whose
    highest reported version could not be fetched.
    """

    answered: frozenset[str]
    silent: frozenset[str]
    missing: frozenset[str]

    @property
    def complete(self):
        """Return whether the configuration is as new as any reachable daemon's."""
        return bool(self.answered) and not self.missing


async def catch_up(membership, fetcher, client):
    """Put in force the highest versions that any reachable failure domain reports.

    Parameters
    ----------
    membership : Membership
    fetcher : ConfigurationFetcher
    client : ControlClient

    Returns
    -------
    CaughtUp
    """
    highest, holders = {}, {}
    domains = [d for d, n in membership.counts_by_domain().items() if n.alive]
    # The own domain goes first: the others are then only asked for what differs.
    own = membership.view.record.failure_domain
    answered = set()
    for group in ([d for d in domains if d == own], [d for d in domains if d != own]):
        asked = (_ask_domain(membership, client, domain) for domain in group)
        for domain, reports in zip(group, await asyncio.gather(*asked), strict=True):
            if reports:
                answered.add(domain)
            _collect(reports, highest, holders)
        missing = await _fetch_all(membership, fetcher, client, highest, holders)
    silent = frozenset(domains) - answered - {own}
    return CaughtUp(frozenset(answered), silent, frozenset(missing))


async def _ask_domain(membership, client, domain):
    """Return versions by instance for up to two members of a domain."""
    reports = {}
    for member in membership.members_in(domain, TRIES_PER_DOMAIN):
        try:
            async with client.connect(member) as peer:
                digests = membership.versions.bucket_digests()
                reports[member.instance] = await peer.versions(digests)
        except ControlError as exc:
            logger.info("event=catch_up_peer_failed reason={!r}", str(exc))
        if len(reports) == MEMBERS_PER_DOMAIN:
            break
    return reports


def _collect(reports, highest, holders):
    """Keep the highest version per team and the instances that report it."""
    for instance, versions in reports.items():
        for version in versions:
            known = highest.get(version.team)
            if known is None or version.version > known.version:
                highest[version.team] = version
                holders[version.team] = [instance]
            elif version.version == known.version:
                holders[version.team].append(instance)


async def _fetch_all(membership, fetcher, client, highest, holders):
    """Fetch what is not in force yet; return the teams that stay behind."""
    for _ in range(FETCH_ROUNDS):
        behind = _behind(fetcher.holder, highest)
        if not behind:
            break
        for instance, teams in _share_out(behind, holders).items():
            await _fetch_from(membership, fetcher, client, instance, teams, highest)
    return _behind(fetcher.holder, highest)


def _behind(holder, highest):
    return [t for t, v in highest.items() if holder.version_of(t) < v.version]


def _share_out(teams, holders):
    shares = {}
    for team in teams:
        shares.setdefault(random.choice(holders[team]), []).append(team)
    return shares


async def _fetch_from(membership, fetcher, client, instance, teams, highest):
    member = membership.member(instance)
    if member is None:
        return
    try:
        async with client.connect(member) as peer:
            await _fetch_batches(peer, fetcher, teams, highest)
    except ControlError as exc:
        logger.info("event=catch_up_fetch_failed reason={!r}", str(exc))


async def _fetch_batches(peer, fetcher, teams, highest):
    remaining = list(teams)
    while remaining:
        items = await peer.fetch(remaining[:TEAMS_PER_FETCH])
        if not items:
            return
        for item in items:
            same = highest[item.team].version == item.version
            digest = highest[item.team].digest if same else item.digest
            fetcher.put(item.team, item.version, item.content, digest)
        delivered = {item.team for item in items}
        remaining = [team for team in remaining if team not in delivered]
