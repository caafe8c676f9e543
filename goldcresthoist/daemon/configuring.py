"""Changes of configuration that an operator makes at this daemon."""

import asyncio
from datetime import UTC, datetime

import msgspec

from goldcresthoist.config import (
    ConfigError,
    ConfigurationConflict,
    decode_content,
    differences,
)
from goldcresthoist.config.errors import ServiceTaken
from goldcresthoist.config.versions import Accepted, NotAccepted, OutcomeNotKnown
from goldcresthoist.control import ControlError
from goldcresthoist.control.counting import count_domain
from goldcresthoist.operators import (
    ApplyReport,
    ConfigurationRecord,
    Conflict,
    DomainCount,
    HistoryEntry,
    InvalidRequest,
    NotFound,
    Unavailable,
)
from goldcresthoist.telemetry import log_event

__all__ = ["ConfigurationChanges"]

PREPARED_PER_DOMAIN = 2
PREPARE_LIMIT_S = 2.0
COUNT_LIMIT_S = 3.0
COUNT_TRIES = 3
OUTCOME_LIMIT_S = 10.0
OUTCOME_PAUSE_S = 0.5


class ConfigurationChanges:
    """Checks, applies and shows configuration for the operators' pages.

    Parameters
    ----------
    store : ConfigurationStore
    control : ControlPlane
    membership : Membership
    """

    def __init__(self, store, control, membership):
        self.store = store
        self.control = control
        self.membership = membership
        self.holder = control.fetcher.holder

    async def check(self, content):
        """Raise `InvalidRequest` when a service belongs to another team."""
        for service in content.services:
            owners = self.holder.owners.get(service.name, set()) - {content.team}
            if owners:
                team = min(owners)
                raise InvalidRequest(
                    f"service {service.name!r} belongs to team {team!r}"
                )

    async def differences(self, content):
        """Return ``(current version, lines)``; the version is 0 for a new team."""
        current = await self._current(content.team)
        if current is None:
            return 0, differences(None, content)
        before = await self._content(current)
        return current.version, differences(before, content)

    async def apply(self, content, expected_version, author):
        """Make the next version and return an `ApplyReport`."""
        team = content.team
        data = msgspec.json.encode(content)
        await self._prepare(team, expected_version + 1, data)
        try:
            result = await self.store.apply(team, data, expected_version, author)
            result = await self._decided(result)
        except ConfigurationConflict as exc:
            details = await self._changed_underneath(team, expected_version)
            raise Conflict(str(exc), details) from exc
        except ServiceTaken as exc:
            raise Conflict(str(exc)) from exc
        except ConfigError as exc:
            raise InvalidRequest(str(exc)) from exc
        version = result.version
        self._put_in_force(version, data)
        counts = await self._counts(team, version.version)
        return ApplyReport(team, version.version, version.digest, counts)

    async def show(self, team):
        """Return the current `ConfigurationRecord` of a team."""
        current = await self._current(team)
        if current is None:
            raise NotFound(f"team {team!r} has no configuration")
        content = await self._content(current)
        return ConfigurationRecord(
            team,
            current.version,
            current.digest,
            current.author,
            _iso(current.time_s),
            content,
        )

    async def history(self, team):
        """Return the `HistoryEntry` items of a team, newest first."""
        try:
            versions = await self.store.history(team)
        except ConfigError as exc:
            raise Unavailable(str(exc)) from exc
        return tuple(
            HistoryEntry(v.version, v.digest, v.author, _iso(v.time_s))
            for v in reversed(versions)
        )

    async def _current(self, team):
        try:
            return await self.store.current(team)
        except ConfigError as exc:
            raise Unavailable(str(exc)) from exc

    async def _content(self, version):
        held = self.holder.in_force(version.team)
        if held is not None and held.version == version.version:
            return decode_content(held.content)
        try:
            return decode_content(await self.store.content(version.digest))
        except ConfigError as exc:
            raise Unavailable(str(exc)) from exc

    async def _changed_underneath(self, team, expected_version):
        """Return lines on what other operators changed since the expected version."""
        try:
            current = await self.store.current(team)
            versions = await self.store.history(team, max(0, expected_version - 1))
            seen = [v for v in versions if v.version == expected_version]
            before = await self._content(seen[0]) if seen else None
            after = await self._content(current)
        except (ConfigError, Unavailable) as exc:
            return (f"what changed cannot be read now: {exc}",)
        return differences(before, after)

    async def _prepare(self, team, version, data):
        """Hand the candidate to some daemons of each failure domain in reach."""
        members = []
        for domain in self.membership.counts_by_domain():
            members += self.membership.members_in(domain, PREPARED_PER_DOMAIN)
        prepared = await asyncio.gather(
            *(self._prepare_at(member, team, version, data) for member in members)
        )
        log_event(
            "info",
            "configuration prepared",
            team=team,
            version=version,
            daemons=sum(prepared),
            asked=len(members),
        )

    async def _prepare_at(self, member, team, version, data):
        try:
            async with asyncio.timeout(PREPARE_LIMIT_S):
                async with self.control.client.connect(member) as peer:
                    reply = await peer.prepare(team, version, data)
        except (ControlError, TimeoutError):
            return False
        return reply.accepted

    async def _decided(self, result):
        """Wait for the outcome of a write whose answer was lost."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + OUTCOME_LIMIT_S
        while isinstance(result, OutcomeNotKnown) and loop.time() < deadline:
            await asyncio.sleep(OUTCOME_PAUSE_S)
            result = await self.store.outcome(result.candidate)
        match result:
            case Accepted():
                return result
            case NotAccepted(reason):
                raise Unavailable(f"nothing was changed: {reason}")
        raise Unavailable(
            f"it is not known whether the change was accepted: {result.reason}; "
            "look at the history before applying again"
        )

    def _put_in_force(self, version, data):
        self.holder.offer(version.team, version.version, data)
        held = self.holder.in_force(version.team)
        self.membership.announce_version(
            version.team, held.version, held.digest, everywhere=True
        )

    async def _counts(self, team, version):
        own = self.membership.view.record.failure_domain
        domains = sorted(self.membership.counts_by_domain())
        counted = await asyncio.gather(
            *(self._count(domain, domain == own, team, version) for domain in domains)
        )
        return tuple(counted)

    async def _count(self, domain, is_own, team, version):
        if is_own:
            counted = await count_domain(self.membership, team, version, COUNT_LIMIT_S)
            return _domain_count(domain, counted)
        for member in self.membership.members_in(domain, COUNT_TRIES):
            try:
                async with self.control.client.connect(member) as peer:
                    reply = await peer.count(team, version, COUNT_LIMIT_S)
                    return _domain_count(domain, reply)
            except ControlError:
                continue
        known = self.membership.counts_by_domain().get(domain)
        daemons = known.alive + known.suspect if known else 0
        return DomainCount(domain, 0, daemons)


def _domain_count(domain, counted):
    daemons = counted.in_force + counted.behind + counted.silent
    return DomainCount(domain, counted.in_force, daemons)


def _iso(time_s):
    return datetime.fromtimestamp(time_s, UTC).isoformat()
