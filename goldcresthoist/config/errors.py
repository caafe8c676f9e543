"""Errors of settings, questionnaires and configuration."""

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
    """Base of all errors of this package."""


class InvalidSetting(ConfigError):
    """A settings file holds a value that is not allowed."""


class InvalidAnswer(ConfigError):
    """A questionnaire holds an answer that is not allowed."""


class ConfigurationConflict(ConfigError):
    """Another operator changed the configuration first.

    Parameters
    ----------
    version : int
        Version that is current instead of the expected one; 0 if there is none.
    author : str
        Who made that version.
    time_s : int
        When, in Unix seconds by the clock of the daemon that wrote it.
    """

    def __init__(self, team, version, author, time_s):
        when = datetime.fromtimestamp(time_s, UTC).isoformat(timespec="seconds")
        super().__init__(
            f"team {team}: version {version} by {author or 'nobody'} at {when} is "
            "current, it is not the expected version"
        )
        self.team = team
        self.version = version
        self.author = author
        self.time_s = time_s


class ServiceTaken(ConfigError):
    """A configuration names a service that belongs to another team."""

    def __init__(self, service, team):
        super().__init__(f"service {service!r} belongs to team {team!r}")
        self.service = service
        self.team = team


class ConfigurationUnavailable(ConfigError):
    """The table service or the object store cannot be read."""


class CorruptContent(ConfigError):
    """A content does not match its digest or cannot be decoded."""
