"""Fetch of the configuration from other daemons, for a daemon that starts or lags."""

import asyncio
import random
from dataclasses import dataclass

from loguru import logger

from goldcresthoist.control.errors import ControlError

__all__ = ["CatchUpResult", "catch_up"]

# Reports to collect in each failure domain. A second one is needed in case the first
# member has just started itself, or does not answer.
REPORTS_PER_DOMAIN = 2
ATTEMPTS_PER_DOMAIN = 4
TEAMS_PER_FETCH = 256
FETCH_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class CatchUpResult:
    """Result of `catch_up`.

    ``answered_domains`` are the failure domains that answered, ``silent_domains`` the
    others that did not, without the own one. ``missing_teams`` are the teams whose
    highest reported version could not be fetched.
    """

    answered_domains: frozenset[str]
    silent_domains: frozenset[str]
    missing_teams: frozenset[str]

    @property
    def complete(self):
        """Whether a domain answered and all versions that it reported are in force."""
        return bool(self.answered_domains) and not self.missing_teams


async def catch_up(membership, fetcher, client):
    """Put in force the highest versions that the reachable failure domains report.

    Parameters
    ----------
    membership : Membership
    fetcher : ConfigurationFetcher
    client : ControlClient

    Returns
    -------
    CatchUpResult
    """
    highest, sources = {}, {}
    domains = [d for d, n in membership.counts_by_domain().items() if n.alive]
    # The own domain is queried first, so that the other domains only have to report
    # the versions that differ after that.
    own = membership.view.record.failure_domain
    answered = set()
    for group in ([d for d in domains if d == own], [d for d in domains if d != own]):
        queries = (_query_domain(membership, client, domain) for domain in group)
        for domain, reports in zip(group, await asyncio.gather(*queries), strict=True):
            if reports:
                answered.add(domain)
            _merge_reports(reports, highest, sources)
        missing = await _fetch_all(membership, fetcher, client, highest, sources)
    silent = frozenset(domains) - answered - {own}
    return CatchUpResult(frozenset(answered), silent, frozenset(missing))


async def _query_domain(membership, client, domain):
    """Return the reported versions by instance, of up to two members of a domain."""
    reports = {}
    for member in membership.members_in(domain, ATTEMPTS_PER_DOMAIN):
        try:
            async with client.connect(member) as peer:
                digests = membership.versions.bucket_digests()
                reports[member.instance] = await peer.versions(digests)
        except ControlError as exc:
            logger.info("event=catch_up_peer_failed reason={!r}", str(exc))
        if len(reports) == REPORTS_PER_DOMAIN:
            break
    return reports


def _merge_reports(reports, highest, sources):
    """Update the highest version of each team and the instances that report it."""
    for instance, versions in reports.items():
        for version in versions:
            known = highest.get(version.team)
            if known is None or version.version > known.version:
                highest[version.team] = version
                sources[version.team] = [instance]
            elif version.version == known.version:
                sources[version.team].append(instance)


async def _fetch_all(membership, fetcher, client, highest, sources):
    """Fetch versions that are not in force yet; return the teams still outdated."""
    for _ in range(FETCH_ROUNDS):
        outdated = _outdated_teams(fetcher.holder, highest)
        if not outdated:
            break
        for instance, teams in _assign_teams(outdated, sources).items():
            await _fetch_from(membership, fetcher, client, instance, teams, highest)
    return _outdated_teams(fetcher.holder, highest)


def _outdated_teams(holder, highest):
    return [t for t, v in highest.items() if holder.version_of(t) < v.version]


def _assign_teams(teams, sources):
    teams_by_instance = {}
    for team in teams:
        teams_by_instance.setdefault(random.choice(sources[team]), []).append(team)
    return teams_by_instance


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
