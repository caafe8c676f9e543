"""Versions of the configuration in the table service and the object store."""

import asyncio
import hashlib
import secrets
import time

import msgspec

from goldcresthoist.access import Backoff
from goldcresthoist.config._owners import ownership_writes
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
    version_writes,
)
from goldcresthoist.objects import ObjectClient, ObjectMissing, ObjectsUnavailable
from goldcresthoist.table import (
    Applied,
    NotSent,
    ReadBack,
    Refused,
    TableClient,
    TableUnavailable,
    Undecided,
    write_until_known,
)

__all__ = ["ConfigurationStore", "service_names"]

APPLY_TIMEOUT_S = 10.0
MAX_TEAMS = 100_000
MAX_HISTORY_ITEMS = 1_000
# A transaction of the table holds at most 100 items. Two of them are the current item
# and the history item of the version.
MAX_SERVICE_CHANGES = 98
# An owner item can change between its read and the transaction, which then fails and
# is prepared again. More failures than this in one `apply` have another cause.
MAX_APPLY_ATTEMPTS = 5


def service_names(team, content):
    """Return the names of the services in a JSON-encoded `TeamConfiguration`.

    Raises
    ------
    CorruptContent
        If the content cannot be decoded or belongs to another team.
    """
    try:
        configuration = msgspec.json.decode(content, type=TeamConfiguration)
    except msgspec.MsgspecError as exc:
        raise CorruptContent(f"team {team}: content is not valid: {exc}") from exc
    if configuration.team != team:
        raise CorruptContent(
            f"content belongs to team {configuration.team!r}, not {team!r}"
        )
    return frozenset(service.name for service in configuration.services)


class ConfigurationStore:
    """Writes and reads the configuration versions of all teams.

    Parameters
    ----------
    table : TableClient
    objects : ObjectClient
    get_service_names : callable
        Called as ``get_service_names(team, content)``; returns a frozenset.
    timeout_s : float
        Time limit of one `apply`, in seconds.
    """

    def __init__(
        self, table, objects, get_service_names=service_names, timeout_s=APPLY_TIMEOUT_S
    ):
        self.table = table
        self.objects = objects
        self.get_service_names = get_service_names
        self.timeout_s = timeout_s

    @classmethod
    def from_settings(cls, settings):
        """Create a store, and the clients that it uses, from a daemon's settings."""
        table = TableClient.from_settings(settings)
        return cls(table, ObjectClient.from_settings(settings))

    async def close(self):
        """Close the clients."""
        await self.table.close()
        await self.objects.close()

    async def apply(self, team, content, expected_version, author):
        """Write content as the version that follows the expected one.

        Parameters
        ----------
        team : str
        content : bytes
            JSON-encoded `TeamConfiguration`.
        expected_version : int
            Version that the author based the change on; 0 if there was none.
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
            If the content, or that of the current version, is not valid.
        InvalidAnswer
            If more than `MAX_SERVICE_CHANGES` services are added or removed.
        """
        new_services = self.get_service_names(team, content)
        candidate = _make_candidate(team, content, expected_version, author)
        deadline = asyncio.get_running_loop().time() + self.timeout_s
        try:
            await self.objects.put(_object_name(candidate.digest), content)
            for _ in range(MAX_APPLY_ATTEMPTS):
                writes = await self._prepare_writes(candidate, new_services)
                written = await self._write(candidate, writes, deadline)
                if not isinstance(written, Refused):
                    return _apply_result(candidate, written)
                # A condition failed. The next attempt reads the version and the
                # owners again and raises an error if one of them has changed. It
                # finds no change if an owner item was changed back in the meantime.
        except (ObjectsUnavailable, TableUnavailable) as exc:
            return NotAccepted(str(exc))
        return NotAccepted(
            f"the owners of the services changed during {MAX_APPLY_ATTEMPTS} attempts"
        )

    async def outcome(self, candidate):
        """Check whether a candidate of unknown outcome has been accepted.

        Parameters
        ----------
        candidate : ConfigurationVersion

        Returns
        -------
        Accepted or OutcomeNotKnown
            `OutcomeNotKnown` while the table holds no version with this number or
            cannot be read.

        Raises
        ------
        ConfigurationConflict
            If another candidate was accepted as this version.
        """
        try:
            seen = await self._read_back(candidate)
            if seen is ReadBack.CONFLICT:
                await self._check_expected_version(candidate)
        except TableUnavailable as exc:
            return OutcomeNotKnown(candidate, str(exc))
        if seen is ReadBack.APPLIED:
            return Accepted(candidate)
        return OutcomeNotKnown(
            candidate, f"the table does not hold version {candidate.version} yet"
        )

    async def current(self, team):
        """Return the current `ConfigurationVersion` of a team, or None.

        Raises
        ------
        ConfigurationUnavailable
            If the table cannot be read. `all_current` and `history` raise it too.
        """
        try:
            item = await self.table.get(current_key(team))
        except TableUnavailable as exc:
            raise ConfigurationUnavailable(str(exc)) from exc
        return version_from_item(item) if item else None

    async def all_current(self):
        """Return the current `ConfigurationVersion` of every team, keyed by team."""
        items = await self._query(CURRENT_PARTITION, MAX_TEAMS)
        return {item["team"]: version_from_item(item) for item in items}

    async def history(self, team, after=0):
        """Return up to 1,000 versions of a team above ``after``, oldest first."""
        start = history_key(team, after).sort if after else ""
        partition = history_partition(team)
        items = await self._query(partition, MAX_HISTORY_ITEMS, start)
        return [version_from_item(item) for item in items]

    async def content(self, digest):
        """Return the content with the given SHA-256 digest in hex.

        Raises
        ------
        ConfigurationUnavailable
            If the object is missing or the object store cannot be read.
        CorruptContent
            If the stored content does not match the digest.
        """
        name = _object_name(digest)
        try:
            content = await self.objects.get(name)
        except (ObjectMissing, ObjectsUnavailable) as exc:
            raise ConfigurationUnavailable(str(exc)) from exc
        if hashlib.sha256(content).hexdigest() != digest:
            raise CorruptContent(f"content of object {name!r} has another digest")
        return content

    async def _query(self, partition, limit, after=""):
        try:
            return await self.table.query(partition, limit=limit, after=after)
        except TableUnavailable as exc:
            raise ConfigurationUnavailable(str(exc)) from exc

    async def _prepare_writes(self, candidate, new_services):
        """Return the writes of the transaction that makes a candidate current."""
        current = await self._check_expected_version(candidate)
        old_services = frozenset()
        if current is not None:
            content = await self._current_content(current)
            old_services = self.get_service_names(candidate.team, content)
        owner_writes = await ownership_writes(
            self.table, candidate.team, old_services, new_services
        )
        if len(owner_writes) > MAX_SERVICE_CHANGES:
            raise InvalidAnswer(
                f"team {candidate.team}: {len(owner_writes)} services are added or "
                f"removed at once, at most {MAX_SERVICE_CHANGES} are allowed"
            )
        return version_writes(candidate) + owner_writes

    async def _current_content(self, current):
        try:
            return await self.content(current.digest)
        except ConfigurationUnavailable as exc:
            raise ObjectsUnavailable(str(exc)) from exc

    async def _check_expected_version(self, candidate):
        """Return the current version; raise if the candidate does not follow it."""
        item = await self.table.get(current_key(candidate.team))
        current = version_from_item(item) if item else None
        if (current.version if current else 0) == candidate.version - 1:
            return current
        if current is None:
            raise ConfigurationConflict(candidate.team, 0, "", 0)
        raise ConfigurationConflict(
            candidate.team, current.version, current.author, current.time_s
        )

    async def _write(self, candidate, writes, deadline):
        return await write_until_known(
            lambda: self.table.transact(writes),
            lambda: self._read_back(candidate),
            Backoff(deadline),
        )

    async def _read_back(self, candidate):
        # A history item is written once and never replaced. The nonce of an accepted
        # candidate can therefore be read even after later versions, and the nonce of
        # another candidate proves that this one was not and will not be accepted.
        key = history_key(candidate.team, candidate.version)
        item = await self.table.get(key)
        if item is None:
            return ReadBack.NOT_VISIBLE
        return (
            ReadBack.APPLIED if item["nonce"] == candidate.nonce else ReadBack.CONFLICT
        )


def _make_candidate(team, content, expected_version, author):
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


def _apply_result(candidate, written):
    match written:
        case Applied():
            return Accepted(candidate)
        case NotSent(reason):
            return NotAccepted(reason)
        case Undecided(reason):
            return OutcomeNotKnown(candidate, reason)
