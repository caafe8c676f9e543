"""Configuration in force in one daemon."""

import hashlib
from collections import OrderedDict

import msgspec
from loguru import logger

from goldcresthoist.config.errors import ConfigError
from goldcresthoist.config.model import TeamConfiguration

__all__ = [
    "ConfigurationHolder",
    "InForce",
    "InvalidContent",
    "content_digest",
    "decode_content",
]

# Services whose decoded configuration is kept. The rest is decoded when it is asked
# for, because a daemon holds all teams' content but uses few services of it.
DECODED_SERVICES = 256


class InvalidContent(ConfigError):
    """The content of a configuration version cannot be used."""


class InForce(msgspec.Struct, frozen=True, gc=False):
    """A team's configuration version that is in force."""

    team: str
    version: int
    digest: bytes
    content: bytes


def content_digest(content):
    """Return the 32-byte BLAKE2b digest of a version's stored bytes."""
    return hashlib.blake2b(content, digest_size=32).digest()


def decode_content(content):
    """Decode the stored bytes of a team's configuration, JSON or msgpack.

    Raises
    ------
    InvalidContent
        When the bytes are neither.
    """
    is_json = content.lstrip()[:1] == b"{"
    decode = msgspec.json.decode if is_json else msgspec.msgpack.decode
    try:
        return decode(content, type=TeamConfiguration)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise InvalidContent(f"configuration of {len(content)} bytes: {exc}") from exc


class ConfigurationHolder:
    """Per team, the version in force. Versions only ever go up."""

    def __init__(self):
        self.teams = {}
        self.owners = {}
        self.decoded = OrderedDict()
        self.subscribers = []

    def offer(self, team, version, content, digest=None):
        """Put a version in force if it is higher than the one held.

        Parameters
        ----------
        team : str
        version : int
        content : bytes
            The stored bytes of the team's configuration.
        digest : bytes
            Expected digest of the content; not checked when None.

        Returns
        -------
        bool
            False when the version is not higher, the digest does not match or the
            content cannot be decoded or belongs to another team.
        """
        if version <= self.version_of(team):
            return False
        if problem := self.problem_with(team, content, digest):
            logger.warning(
                "event=configuration_refused team={} version={} reason={!r}",
                team,
                version,
                problem,
            )
            return False
        self._put(InForce(team, version, content_digest(content), content))
        return True

    def problem_with(self, team, content, digest=None):
        """Return why content cannot be put in force for a team, or None."""
        if digest is not None and content_digest(content) != digest:
            return "the digest does not match the content"
        try:
            found = decode_content(content).team
        except InvalidContent as exc:
            return str(exc)
        return None if found == team else f"the content is of team {found!r}"

    def service(self, name):
        """Return the `ServiceConfiguration` of a service, or None."""
        if (configuration := self.decoded.get(name)) is not None:
            return configuration
        if not (owners := self.owners.get(name)):
            return None
        # Service names are unique; the smallest team name settles a mistake in the
        # same way in all daemons.
        services = decode_content(self.teams[min(owners)].content).services
        configuration = next(item for item in services if item.name == name)
        self.decoded[name] = configuration
        if len(self.decoded) > DECODED_SERVICES:
            self.decoded.popitem(last=False)
        return configuration

    def in_force(self, team):
        """Return the `InForce` of a team, or None."""
        return self.teams.get(team)

    def version_of(self, team):
        """Return the version in force for a team, 0 for none."""
        held = self.teams.get(team)
        return held.version if held else 0

    def subscribe(self, callback):
        """Call ``callback(in_force)`` for each version put in force from now on."""
        self.subscribers.append(callback)
        return lambda: self.subscribers.remove(callback)

    def _put(self, item):
        if held := self.teams.get(item.team):
            self._disown(held)
        self.teams[item.team] = item
        for service in decode_content(item.content).services:
            self.owners.setdefault(service.name, set()).add(item.team)
            self.decoded.pop(service.name, None)
        for callback in tuple(self.subscribers):
            callback(item)

    def _disown(self, held):
        for service in decode_content(held.content).services:
            self.decoded.pop(service.name, None)
            owners = self.owners[service.name]
            owners.discard(held.team)
            if not owners:
                del self.owners[service.name]
