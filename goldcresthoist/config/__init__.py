"""Settings, questionnaire and generated configuration."""

from goldcresthoist.config.differences import differences
from goldcresthoist.config.errors import (
    ConfigError,
    ConfigurationConflict,
    InvalidAnswer,
    InvalidSetting,
)
from goldcresthoist.config.generation import generate
from goldcresthoist.config.holder import (
    ConfigurationHolder,
    InForce,
    InvalidContent,
    content_digest,
    decode_content,
)
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
    "ConfigurationHolder",
    "InForce",
    "InvalidAnswer",
    "InvalidContent",
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
    "content_digest",
    "decode_content",
    "split_address",
]
