"""Errors of settings, questionnaires and configuration."""

__all__ = [
    "ConfigError",
    "ConfigurationConflict",
    "InvalidAnswer",
    "InvalidSetting",
]


class ConfigError(Exception):
    """Base of all errors of this package."""


class InvalidSetting(ConfigError):
    """A settings file holds a value that is not allowed."""


class InvalidAnswer(ConfigError):
    """A questionnaire holds an answer that is not allowed."""


class ConfigurationConflict(ConfigError):
    """Another operator changed the configuration first."""
