"""Versions of the configuration in the table service and the object store."""

import asyncio
import hashlib
import secrets
import time

import msgspec

from goldcresthoist.access import Backoff
from goldcresthoist.config._owners import owner_puts
from goldcresthoist.config.errors import (
    ConfigurationConflict,
    ConfigurationUnavailable,
    CorruptContent,
    InvalidAnswer,
)
from goldcresthoist.config.model import TeamConfiguration
from goldcresthoist.config.versions import (
    CURRENT_PARTITION,
    Accepted,
    ConfigurationVersion,
    NotAccepted,
    OutcomeNotKnown,
    current_key,
    history_key,
    history_partition,
    version_from_item,
    version_puts,
)
from goldcresthoist.objects import ObjectClient, ObjectMissing, ObjectsUnavailable
from goldcresthoist.table import (
    Applied,
    NotSent,
    Refused,
    Seen,
    TableClient,
    TableUnavailable,
    Undecided,
    write_until_known,
)

__all__ = ["ConfigurationStore", "service_names"]

APPLY_TIMEOUT_S = 10.0
MOST_TEAMS = 100_000
MOST_HISTORY_ITEMS = 1_000
# The table takes 100 items in a transaction; two are the versions.
MOST_SERVICE_CHANGES = 98
# Owners can change between their read and the transaction; more often than this in
# one apply means that something else is wrong.
MOST_OWNER_RACES = 5


def service_names(team, content):
    """Return the names of the services in an encoded `TeamConfiguration`.

    Raises
    ------
    CorruptContent
        If the content cannot be decoded or is another team's.
    """
    try:
        configuration = msgspec.json.decode(content, type=TeamConfiguration)
    except msgspec.MsgspecError as exc:
        raise CorruptContent(f"team {team}: content is not valid: {exc}") from exc
    if configuration.team != team:
        raise CorruptContent(f"content is of team {configuration.team!r}, not {team!r}")
    return frozenset(service.name for service in configuration.services)


class ConfigurationStore:
    """Accepts, lists and returns the versions of every team's configuration.

    Parameters
    ----------
    table : TableClient
    objects : ObjectClient
    read_services : callable
        Returns the service names of ``(team, content)``.
    timeout_s : float
        Longest time of one `apply`, in seconds.
    """

    def __init__(
        self, table, objects, read_services=service_names, timeout_s=APPLY_TIMEOUT_S
    ):
        self.table = table
        self.objects = objects
        self.read_services = read_services
        self.timeout_s = timeout_s

    @classmethod
    def from_settings(cls, settings):
        """Make a store with its own clients from a daemon's settings."""
        table = TableClient.from_settings(settings)
        return cls(table, ObjectClient.from_settings(settings))

    async def close(self):
        """Close the clients."""
        await self.table.close()
        await self.objects.close()

    async def apply(self, team, content, expected_version, author):
        """Make a content the version after the expected one.

        Parameters
        ----------
        team : str
        content : bytes
            Encoded `TeamConfiguration`.
        expected_version : int
            Version that the author has seen; 0 if there is none.
        author : str

        Returns
        -------
        Accepted, NotAccepted or OutcomeNotKnown

        Raises
        ------
        ConfigurationConflict
            If another version is current. Nothing was changed.
        ServiceTaken
            If a service belongs to another team. Nothing was changed.
        CorruptContent
            If the content is not valid.
        """
        after = self.read_services(team, content)
        candidate = _candidate(team, content, expected_version, author)
        deadline = asyncio.get_running_loop().time() + self.timeout_s
        try:
            await self.objects.put(_object_name(candidate.digest), content)
            for _ in range(MOST_OWNER_RACES):
                puts = await self._puts(candidate, after)
                written = await self._write(candidate, puts, deadline)
                if not isinstance(written, Refused):
                    return _result(candidate, written)
                # The next round finds another version or another owner, or none if
                # the owner has changed back meanwhile.
        except (ObjectsUnavailable, TableUnavailable) as exc:
            return NotAccepted(str(exc))
        return NotAccepted("owners of the services keep changing")

    async def outcome(self, candidate):
        """Tell what became of a candidate whose outcome was not known.

        Returns and raises as `apply`; `OutcomeNotKnown` if nothing is visible yet.
        """
        try:
            seen = await self._read_back(candidate)
            if seen is Seen.OTHER:
                await self._require_expected(candidate)
        except TableUnavailable as exc:
            return OutcomeNotKnown(candidate, str(exc))
        if seen is Seen.OWN:
            return Accepted(candidate)
        return OutcomeNotKnown(candidate, "the table shows no version yet")

    async def current(self, team):
        """Return the current `ConfigurationVersion` of a team, or None.

        Raises
        ------
        ConfigurationUnavailable
            As all methods that read.
        """
        try:
            item = await self.table.get(current_key(team))
        except TableUnavailable as exc:
            raise ConfigurationUnavailable(str(exc)) from exc
        return version_from_item(item) if item else None

    async def all_current(self):
        """Return the current version of each team, as a mapping by team."""
        items = await self._query(CURRENT_PARTITION, MOST_TEAMS)
        return {item["team"]: version_from_item(item) for item in items}

    async def history(self, team, after=0):
        """Return the versions of a team behind `after`, oldest first, at most 1,000."""
        start = history_key(team, after).sort if after else ""
        partition = history_partition(team)
        items = await self._query(partition, MOST_HISTORY_ITEMS, start)
        return [version_from_item(item) for item in items]

    async def content(self, digest):
        """Return the content of a version, checked against its digest."""
        name = _object_name(digest)
        try:
            content = await self.objects.get(name)
        except (ObjectMissing, ObjectsUnavailable) as exc:
            raise ConfigurationUnavailable(str(exc)) from exc
        if hashlib.sha256(content).hexdigest() != digest:
            raise CorruptContent(f"object {name!r} does not match its digest")
        return content

    async def _query(self, partition, limit, after=""):
        try:
            return await self.table.query(partition, limit=limit, after=after)
        except TableUnavailable as exc:
            raise ConfigurationUnavailable(str(exc)) from exc

    async def _puts(self, candidate, after):
        current = await self._require_expected(candidate)
        before = frozenset()
        if current is not None:
            content = await self._content_before(current)
            before = self.read_services(candidate.team, content)
        owners = await owner_puts(self.table, candidate.team, before, after)
        if len(owners) > MOST_SERVICE_CHANGES:
            raise InvalidAnswer(
                f"team {candidate.team}: {len(owners)} services are added or removed "
                f"at once, at most {MOST_SERVICE_CHANGES} are allowed"
            )
        return version_puts(candidate) + owners

    async def _content_before(self, current):
        try:
            return await self.content(current.digest)
        except ConfigurationUnavailable as exc:
            raise ObjectsUnavailable(str(exc)) from exc

    async def _require_expected(self, candidate):
        item = await self.table.get(current_key(candidate.team))
        current = version_from_item(item) if item else None
        if (current.version if current else 0) == candidate.version - 1:
            return current
        if current is None:
            raise ConfigurationConflict(candidate.team, 0, "", 0)
        raise ConfigurationConflict(
            candidate.team, current.version, current.author, current.time_s
        )

    async def _write(self, candidate, puts, deadline):
        return await write_until_known(
            lambda: self.table.transact(puts),
            lambda: self._read_back(candidate),
            Backoff(deadline),
        )

    async def _read_back(self, candidate):
        # The history item is never replaced, so the nonce stays visible after later
        # versions, and another nonce proves that the candidate cannot be accepted.
        key = history_key(candidate.team, candidate.version)
        item = await self.table.get(key)
        if item is None:
            return Seen.NOTHING
        return Seen.OWN if item["nonce"] == candidate.nonce else Seen.OTHER


def _candidate(team, content, expected_version, author):
    return ConfigurationVersion(
        team=team,
        version=expected_version + 1,
        digest=hashlib.sha256(content).hexdigest(),
        author=author,
        time_s=int(time.time()),
        nonce=secrets.token_hex(16),
    )


def _object_name(digest):
    return f"configuration/{digest}"


def _result(candidate, written):
    match written:
        case Applied():
            return Accepted(candidate)
        case NotSent(reason):
            return NotAccepted(reason)
        case Undecided(reason):
            return OutcomeNotKnown(candidate, reason)
