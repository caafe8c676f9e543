"""Settings, questionnaire and generated configuration."""

from goldcresthoist.config.differences import differences
from goldcresthoist.config.errors import (
    ConfigError,
    ConfigurationConflict,
    InvalidAnswer,
    InvalidSetting,
)
from goldcresthoist.config.generation import generate
from goldcresthoist.config.model import (
    AtMostOnce,
    Read,
    Repeatable,
    ServiceConfiguration,
    TeamConfiguration,
    Upload,
    WorkRule,
)
from goldcresthoist.config.questionnaire import Questionnaire
from goldcresthoist.config.settings import Settings, split_address

__all__ = [
    "AtMostOnce",
    "ConfigError",
    "ConfigurationConflict",
    "InvalidAnswer",
    "InvalidSetting",
    "Questionnaire",
    "Read",
    "Repeatable",
    "ServiceConfiguration",
    "Settings",
    "TeamConfiguration",
    "Upload",
    "WorkRule",
    "differences",
    "generate",
    "split_address",
]
