"""Adapter between the users' platform and the project's types.

This package converts formats and calls; it makes no decisions. The terms of the
platform are used only here: its machine is an instance, its zone a failure domain, its
tenant a workspace, its client a caller, and its target, server or back end an upstream.
"""

from goldcresthoist.platform.announcements import (
    Announcement,
    Departure,
    decode_announcement,
    decode_departure,
    parse_announcement_path,
)
from goldcresthoist.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    DRAINED_DOMAIN_PREFIX,
    decode_configuration,
    decode_drained_domain,
)
from goldcresthoist.platform.errors import (
    HistoryGone,
    InvalidMessage,
    InvalidNodeSettings,
    OutcomeUnknown,
    PlatformFormatError,
    StoreError,
    StoreRefused,
    StoreUnavailable,
    WriteConflict,
)
from goldcresthoist.platform.settings import Bounds, NodeSettings
from goldcresthoist.platform.store import Row, RowPage, StoreClient, StorePosition

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "DRAINED_DOMAIN_PREFIX",
    "Announcement",
    "Bounds",
    "Departure",
    "HistoryGone",
    "InvalidMessage",
    "InvalidNodeSettings",
    "NodeSettings",
    "OutcomeUnknown",
    "PlatformFormatError",
    "Row",
    "RowPage",
    "StoreClient",
    "StoreError",
    "StorePosition",
    "StoreRefused",
    "StoreUnavailable",
    "WriteConflict",
    "decode_announcement",
    "decode_configuration",
    "decode_departure",
    "decode_drained_domain",
    "parse_announcement_path",
]
