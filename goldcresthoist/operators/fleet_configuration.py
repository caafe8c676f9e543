"""Configuration service that stores changes and distributes them to the fleet."""

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

# Daemons of each failure domain that receive the content of a change before it is
# stored. With two, the content survives the loss of one daemon before the new version
# has spread through gossip.
PREPARED_PER_DOMAIN = 2
PREPARE_TIMEOUT_S = 2.0
# An accepted configuration takes effect in all daemons within 4 s, so that the count
# waits this long for them.
COUNT_TIMEOUT_S = 4.0
# Daemons of another failure domain that are called in turn until one returns the count
# of its domain.
COUNT_ATTEMPTS = 2
# Shortest and longest interval at which the table is polled for the outcome of a change
# when the store did not report it.
MIN_OUTCOME_POLL_S = 0.5
MAX_OUTCOME_POLL_S = 5.0
MAX_HISTORY_ENTRIES = 100


class FleetConfiguration:
    """Checks, applies and shows configuration for the whole fleet.

    Parameters
    ----------
    store : ConfigurationStore
    holder : ConfigurationHolder
        Holds the configurations in force in this daemon.
    membership : Membership
    client : ControlClient
        Calls other daemons.
    """

    def __init__(self, store, holder, membership, client):
        self.store = store
        self.holder = holder
        self.membership = membership
        self.client = client
        self.outcome_tasks = set()

    async def close(self):
        """Stop polling for the outcome of changes."""
        for task in self.outcome_tasks:
            task.cancel()
        await asyncio.gather(*self.outcome_tasks, return_exceptions=True)

    async def check(self, content):
        """Raise `InvalidRequest` if one of the services belongs to another team."""
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
        """Store the next version, put it in force and count the daemons with it."""
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
                self._start_outcome_poll(candidate, data)
                raise Unavailable(
                    f"it is not known whether version {candidate.version} was "
                    f"accepted: {reason}; if it was, it will be put in force"
                )
            case Accepted(version):
                self._put_in_force(team, version.version, data)
                counts = await self._count_all_domains(content, version.version)
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
        after = max(0, current.version - MAX_HISTORY_ENTRIES)
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
        """Return the differences that other operators made since a version."""
        try:
            versions = await self.store.history(team, max(0, version - 1))
            if not versions:
                return ()
            newest = await self._content(versions[-1].digest)
            base_content = None
            if versions[0].version == version:
                base_content = await self._content(versions[0].digest)
        except (ConfigurationUnavailable, Unavailable) as exc:
            return (f"the differences to the current version cannot be read: {exc}",)
        return differences(base_content, newest)

    async def _prepare(self, team, version, data):
        """Send the content of a change to some daemons of each failure domain.

        Errors are only logged, as a daemon without the content fetches it when it
        receives the version by gossip.
        """
        members = [
            member
            for domain in self.membership.counts_by_domain()
            for member in self.membership.members_in(domain, PREPARED_PER_DOMAIN)
        ]
        calls = (
            self._prepare_member(member, team, version, data) for member in members
        )
        await asyncio.gather(*calls)

    async def _prepare_member(self, member, team, version, data):
        try:
            async with (
                asyncio.timeout(PREPARE_TIMEOUT_S),
                self.client.connect(member) as peer,
            ):
                await peer.prepare(team, version, data)
        except (ControlError, OSError, TimeoutError) as exc:
            log_event("info", "candidate not sent", instance=member.instance, error=exc)

    def _put_in_force(self, team, version, data):
        self.holder.put_if_newer(team, version, data)
        digest = content_digest(data)
        self.membership.announce_version(team, version, digest, all_domains=True)

    async def _count_all_domains(self, content, version):
        """Return a `DomainCount` for each failure domain of the fleet or of the team.

        A domain of the team in which no daemon is known is included.
        """
        known = {
            domain: members.alive + members.suspect
            for domain, members in self.membership.counts_by_domain().items()
        }
        calls = (
            self._count_one_domain(domain, known.get(domain, 0), content.team, version)
            for domain in sorted({*known, *content.failure_domains})
        )
        return tuple(await asyncio.gather(*calls))

    async def _count_one_domain(self, domain, daemons, team, version):
        if domain == self.membership.view.record.failure_domain:
            counted = await count_domain(
                self.membership, team, version, COUNT_TIMEOUT_S
            )
            return _domain_count(domain, counted)
        for member in self.membership.members_in(domain, COUNT_ATTEMPTS):
            try:
                async with self.client.connect(member) as peer:
                    counted = await peer.count(team, version, COUNT_TIMEOUT_S)
                    return _domain_count(domain, counted)
            except (ControlError, OSError) as exc:
                log_event("warning", "domain not counted", domain=domain, error=exc)
        return DomainCount(domain, 0, daemons)

    def _start_outcome_poll(self, candidate, data):
        """Poll for the outcome of a change and put it in force once it is accepted."""
        task = asyncio.get_running_loop().create_task(
            self._poll_outcome(candidate, data)
        )
        self.outcome_tasks.add(task)
        task.add_done_callback(self.outcome_tasks.discard)

    async def _poll_outcome(self, candidate, data):
        pause_s = MIN_OUTCOME_POLL_S
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
            pause_s = min(2 * pause_s, MAX_OUTCOME_POLL_S)


def _domain_count(domain, counted):
    daemons = counted.in_force + counted.behind + counted.silent
    return DomainCount(domain, counted.in_force, daemons)


def _iso(time_s):
    if not time_s:
        return ""
    return datetime.fromtimestamp(time_s, UTC).isoformat(timespec="seconds")
