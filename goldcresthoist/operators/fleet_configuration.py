"""Configuration service of a daemon: changes go to the store and to the fleet."""

import asyncio
import random
from datetime import UTC, datetime

import msgspec

from goldcresthoist.config import TeamConfiguration
from goldcresthoist.config.differences import differences
from goldcresthoist.config.errors import (
    ConfigurationConflict,
    ConfigurationUnavailable,
    CorruptContent,
    InvalidAnswer,
    ServiceTaken,
)
from goldcresthoist.config.holder import content_digest
from goldcresthoist.config.versions import Accepted, NotAccepted, OutcomeNotKnown
from goldcresthoist.control import ControlError
from goldcresthoist.control.counting import count_domain
from goldcresthoist.operators.errors import (
    Conflict,
    InvalidRequest,
    NotFound,
    Unavailable,
)
from goldcresthoist.operators.model import (
    ApplyReport,
    ConfigurationRecord,
    DomainCount,
    HistoryEntry,
)
from goldcresthoist.telemetry import log_event

__all__ = ["FleetConfiguration"]

# Two holders survive the loss of one daemon between the change and its rumour.
PREPARED_PER_DOMAIN = 2
PREPARE_LIMIT_S = 2.0
# An accepted configuration is in force everywhere within 4 s.
COUNT_LIMIT_S = 4.0
COUNT_ATTEMPTS = 2
# How often a change whose outcome is not known is looked for in the table.
FOLLOW_SHORTEST_S = 0.5
FOLLOW_LONGEST_S = 5.0
HISTORY_ENTRIES = 100


class FleetConfiguration:
    """Checks, applies and shows configuration for the whole fleet.

    Parameters
    ----------
    store : ConfigurationStore
    holder : ConfigurationHolder
    membership : Membership
    client : ControlClient
    """

    def __init__(self, store, holder, membership, client):
        self.store = store
        self.holder = holder
        self.membership = membership
        self.client = client
        self.followers = set()

    async def close(self):
        """Stop looking for changes whose outcome is not known."""
        for task in self.followers:
            task.cancel()
        await asyncio.gather(*self.followers, return_exceptions=True)

    async def check(self, content):
        """Raise `InvalidRequest` when another team has one of the services."""
        for service in content.services:
            others = self.holder.owners.get(service.name, set()) - {content.team}
            if others:
                raise InvalidRequest(
                    f"service {service.name!r} belongs to team {min(others)!r}"
                )

    async def differences(self, content):
        """Return ``(current version, lines)``; the version is 0 for a new team."""
        current = await self._current(content.team)
        if current is None:
            return 0, differences(None, content)
        old = await self._content(current.digest)
        return current.version, differences(old, content)

    async def apply(self, content, expected_version, author):
        """Make the next version, put it in force and count where it is."""
        team, data = content.team, msgspec.json.encode(content)
        await self._prepare(team, expected_version + 1, data)
        try:
            result = await self.store.apply(team, data, expected_version, author)
        except ConfigurationConflict as exc:
            lines = await self._changed_since(team, expected_version)
            raise Conflict(str(exc), lines) from exc
        except (ServiceTaken, CorruptContent, InvalidAnswer) as exc:
            raise InvalidRequest(str(exc)) from exc
        match result:
            case NotAccepted(reason):
                raise Unavailable(f"nothing was changed: {reason}")
            case OutcomeNotKnown(candidate, reason):
                self._follow(candidate, data)
                raise Unavailable(
                    f"it is not known whether version {candidate.version} was "
                    f"accepted: {reason}; it is put in force if it was"
                )
            case Accepted(version):
                self._put_in_force(team, version.version, data)
                counts = await self._counts(content, version.version)
                return ApplyReport(team, version.version, version.digest, counts)

    async def show(self, team):
        """Return the current `ConfigurationRecord` of a team."""
        current = await self._current(team)
        if current is None:
            raise NotFound(f"team {team} has no configuration")
        content = await self._content(current.digest)
        return ConfigurationRecord(
            team,
            current.version,
            current.digest,
            current.author,
            _iso(current.time_s),
            content,
        )

    async def history(self, team):
        """Return the newest versions of a team, newest first."""
        current = await self._current(team)
        if current is None:
            raise NotFound(f"team {team} has no configuration")
        after = max(0, current.version - HISTORY_ENTRIES)
        try:
            versions = await self.store.history(team, after)
        except ConfigurationUnavailable as exc:
            raise Unavailable(str(exc)) from exc
        return tuple(
            HistoryEntry(item.version, item.digest, item.author, _iso(item.time_s))
            for item in reversed(versions)
        )

    async def _current(self, team):
        try:
            return await self.store.current(team)
        except ConfigurationUnavailable as exc:
            raise Unavailable(str(exc)) from exc

    async def _content(self, digest):
        try:
            data = await self.store.content(digest)
        except (ConfigurationUnavailable, CorruptContent) as exc:
            raise Unavailable(str(exc)) from exc
        return msgspec.json.decode(data, type=TeamConfiguration)

    async def _changed_since(self, team, version):
        """Return what other operators changed since a version."""
        try:
            versions = await self.store.history(team, max(0, version - 1))
            if not versions:
                return ()
            newest = await self._content(versions[-1].digest)
            seen = None
            if versions[0].version == version:
                seen = await self._content(versions[0].digest)
        except (ConfigurationUnavailable, Unavailable) as exc:
            return (f"what was changed cannot be read: {exc}",)
        return differences(seen, newest)

    async def _prepare(self, team, version, data):
        """Send a candidate to some daemons of each failure domain."""
        members = [
            member
            for domain in self.membership.counts_by_domain()
            for member in self.membership.members_in(domain, PREPARED_PER_DOMAIN)
        ]
        calls = (self._prepare_one(member, team, version, data) for member in members)
        await asyncio.gather(*calls)

    async def _prepare_one(self, member, team, version, data):
        try:
            async with (
                asyncio.timeout(PREPARE_LIMIT_S),
                self.client.connect(member) as peer,
            ):
                await peer.prepare(team, version, data)
        except (ControlError, OSError, TimeoutError) as exc:
            log_event("info", "candidate not sent", instance=member.instance, error=exc)

    def _put_in_force(self, team, version, data):
        self.holder.offer(team, version, data)
        digest = content_digest(data)
        self.membership.announce_version(team, version, digest, everywhere=True)

    async def _counts(self, content, version):
        """Count the known domains, and those of the team that nobody is known of."""
        known = {
            domain: members.alive + members.suspect
            for domain, members in self.membership.counts_by_domain().items()
        }
        calls = (
            self._count(domain, known.get(domain, 0), content.team, version)
            for domain in sorted({*known, *content.failure_domains})
        )
        return tuple(await asyncio.gather(*calls))

    async def _count(self, domain, daemons, team, version):
        if domain == self.membership.view.record.failure_domain:
            counted = await count_domain(self.membership, team, version, COUNT_LIMIT_S)
            return _domain_count(domain, counted)
        for member in self.membership.members_in(domain, COUNT_ATTEMPTS):
            try:
                async with self.client.connect(member) as peer:
                    counted = await peer.count(team, version, COUNT_LIMIT_S)
                    return _domain_count(domain, counted)
            except (ControlError, OSError) as exc:
                log_event("warning", "domain not counted", domain=domain, error=exc)
        return DomainCount(domain, 0, daemons)

    def _follow(self, candidate, data):
        """Put a change in force as soon as the table shows that it was accepted."""
        task = asyncio.get_running_loop().create_task(self._look_for(candidate, data))
        self.followers.add(task)
        task.add_done_callback(self.followers.discard)

    async def _look_for(self, candidate, data):
        pause_s = FOLLOW_SHORTEST_S
        while True:
            try:
                result = await self.store.outcome(candidate)
            except ConfigurationConflict as exc:
                log_event("warning", "configuration not accepted", error=exc)
                return
            if isinstance(result, Accepted):
                self._put_in_force(candidate.team, candidate.version, data)
                return
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, FOLLOW_LONGEST_S)


def _domain_count(domain, counted):
    daemons = counted.in_force + counted.behind + counted.silent
    return DomainCount(domain, counted.in_force, daemons)


def _iso(time_s):
    if not time_s:
        return ""
    return datetime.fromtimestamp(time_s, UTC).isoformat(timespec="seconds")
