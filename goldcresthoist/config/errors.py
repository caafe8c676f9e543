"""Exceptions for settings, questionnaires and configuration versions."""

from datetime import UTC, datetime

__all__ = [
    "ConfigError",
    "ConfigurationConflict",
    "ConfigurationUnavailable",
    "CorruptContent",
    "InvalidAnswer",
    "InvalidSetting",
    "ServiceTaken",
]


class ConfigError(Exception):
    """Base class of the exceptions of this package."""


class InvalidSetting(ConfigError):
    """A settings file holds a value that is not allowed."""


class InvalidAnswer(ConfigError):
    """A questionnaire holds an answer that is not allowed."""


class ConfigurationConflict(ConfigError):
    """The current version of a team is not the one that a change was based on.

    Parameters
    ----------
    team : str
    version : int
        Current version; 0 if the team has none.
    author : str
        Author of the current version.
    time_s : int
        When the current version was written, in Unix seconds by the clock of the
        daemon that wrote it.
    """

    def __init__(self, team, version, author, time_s):
        when = datetime.fromtimestamp(time_s, UTC).isoformat(timespec="seconds")
        super().__init__(
            f"team {team}: current version {version} by {author or 'nobody'} at {when} "
            "is not the expected version"
        )
        self.team = team
        self.version = version
        self.author = author
        self.time_s = time_s


class ServiceTaken(ConfigError):
    """A configuration contains a service that belongs to another team."""

    def __init__(self, service, team):
        super().__init__(f"service {service!r} belongs to team {team!r}")
        self.service = service
        self.team = team


class ConfigurationUnavailable(ConfigError):
    """The table service or the object store cannot be read."""


class CorruptContent(ConfigError):
    """Content does not match its digest, cannot be decoded or is of another team."""
