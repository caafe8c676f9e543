"""The configuration that is in force in one daemon.

A version is in force in a daemon when the daemon balances calls by it.
"""

import hashlib
from collections import OrderedDict

import msgspec
from loguru import logger

from goldcresthoist.config.errors import ConfigError
from goldcresthoist.config.model import TeamConfiguration

__all__ = [
    "ConfigurationHolder",
    "InvalidContent",
    "VersionInForce",
    "content_digest",
    "decode_content",
]

# Size of the cache of decoded service configurations. A daemon holds the encoded
# content of all teams but uses few of their services, so it decodes them on demand.
MAX_DECODED_SERVICES = 256


class InvalidContent(ConfigError):
    """The content of a configuration version cannot be used."""


class VersionInForce(msgspec.Struct, frozen=True, gc=False):
    """A team's version in force, with its encoded content."""

    team: str
    version: int
    digest: bytes
    content: bytes


def content_digest(content):
    """Return the 32-byte BLAKE2b digest of encoded content."""
    return hashlib.blake2b(content, digest_size=32).digest()


def decode_content(content):
    """Decode content in JSON or msgpack to a `TeamConfiguration`.

    Raises
    ------
    InvalidContent
        If the content cannot be decoded.
    """
    is_json = content.lstrip()[:1] == b"{"
    decode = msgspec.json.decode if is_json else msgspec.msgpack.decode
    try:
        return decode(content, type=TeamConfiguration)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise InvalidContent(
            f"cannot decode configuration of {len(content)} bytes: {exc}"
        ) from exc


class ConfigurationHolder:
    """Holds the version in force of each team. Only a higher version replaces it.

    Attributes
    ----------
    teams : dict
        `VersionInForce` by team.
    owners : dict
        Set of the teams whose configuration contains a service, by service name.
    decoded_services : OrderedDict
        Cache of `ServiceConfiguration` by service name, oldest entry first.
    subscribers : list of callable
    """

    def __init__(self):
        self.teams = {}
        self.owners = {}
        self.decoded_services = OrderedDict()
        self.subscribers = []

    def put_if_newer(self, team, version, content, digest=None):
        """Put a version in force if it is higher than the current one.

        Parameters
        ----------
        team : str
        version : int
        content : bytes
            Encoded `TeamConfiguration`.
        digest : bytes, optional
            Expected digest of the content; not checked if None.

        Returns
        -------
        bool
            Whether the version was put in force. False if the version is not higher,
            the digest does not match, or the content cannot be decoded or belongs to
            another team.
        """
        if version <= self.version_of(team):
            return False
        if reason := self.rejection_reason(team, content, digest):
            logger.warning(
                "event=configuration_refused team={} version={} reason={!r}",
                team,
                version,
                reason,
            )
            return False
        self._replace(VersionInForce(team, version, content_digest(content), content))
        return True

    def rejection_reason(self, team, content, digest=None):
        """Return why content is not valid for a team, or None if it is valid."""
        if digest is not None and content_digest(content) != digest:
            return "the digest does not match the content"
        try:
            owner = decode_content(content).team
        except InvalidContent as exc:
            return str(exc)
        return None if owner == team else f"the content belongs to team {owner!r}"

    def service(self, name):
        """Return the `ServiceConfiguration` of a service, or None if it is unknown."""
        if (configuration := self.decoded_services.get(name)) is not None:
            return configuration
        if not (owners := self.owners.get(name)):
            return None
        # A service belongs to one team. If two configurations contain it by mistake,
        # the team whose name sorts first is used, so that all daemons choose the same.
        services = decode_content(self.teams[min(owners)].content).services
        configuration = next(item for item in services if item.name == name)
        self.decoded_services[name] = configuration
        if len(self.decoded_services) > MAX_DECODED_SERVICES:
            self.decoded_services.popitem(last=False)
        return configuration

    def in_force(self, team):
        """Return the `VersionInForce` of a team, or None if it has none."""
        return self.teams.get(team)

    def version_of(self, team):
        """Return the number of a team's version in force, or 0 if it has none."""
        current = self.teams.get(team)
        return current.version if current else 0

    def subscribe(self, callback):
        """Call ``callback(version_in_force)`` for each version put in force.

        Returns
        -------
        callable
            Ends the subscription.
        """
        self.subscribers.append(callback)
        return lambda: self.subscribers.remove(callback)

    def _replace(self, item):
        if replaced := self.teams.get(item.team):
            self._remove_services(replaced)
        self.teams[item.team] = item
        for service in decode_content(item.content).services:
            self.owners.setdefault(service.name, set()).add(item.team)
            self.decoded_services.pop(service.name, None)
        for callback in tuple(self.subscribers):
            callback(item)

    def _remove_services(self, replaced):
        for service in decode_content(replaced.content).services:
            self.decoded_services.pop(service.name, None)
            owners = self.owners[service.name]
            owners.discard(replaced.team)
            if not owners:
                del self.owners[service.name]
