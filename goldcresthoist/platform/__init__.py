"""Names, formats and calls of the users' platform, translated into the project's types.

Nothing in this package decides anything. The words of the platform appear only here:
its machine is an instance, its zone a failure domain, its tenant a workspace, its
client a caller, its target, server or back end an upstream.
"""

from goldcresthoist.platform.announcements import (
    Announcement,
    Departure,
    decode_announcement,
    decode_departure,
    identity_in_path,
)
from goldcresthoist.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    decode_configuration,
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
from goldcresthoist.platform.store import Row, RowPage, StoreClient

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
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
    "StoreRefused",
    "StoreUnavailable",
    "WriteConflict",
    "decode_announcement",
    "decode_configuration",
    "decode_departure",
    "identity_in_path",
]
