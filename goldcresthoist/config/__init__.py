"""Settings of a daemon, questionnaires of teams and the configuration from them."""

from goldcresthoist._lazy import lazy_members

_MODULES = {
    "errors": (
        "ConfigError",
        "ConfigurationConflict",
        "InvalidAnswer",
        "InvalidSetting",
    ),
    "generation": ("generate",),
    "holder": (
        "ConfigurationHolder",
        "InvalidContent",
        "VersionInForce",
        "content_digest",
        "decode_content",
    ),
    "model": (
        "AtMostOnce",
        "Read",
        "Repeatable",
        "ServiceConfiguration",
        "TeamConfiguration",
        "Upload",
        "WorkRule",
    ),
    "questionnaire": ("Questionnaire",),
    "settings": ("Settings", "split_address"),
}

__all__ = [name for names in _MODULES.values() for name in names]  # noqa: PLE0605

__getattr__ = lazy_members(__name__, _MODULES)
