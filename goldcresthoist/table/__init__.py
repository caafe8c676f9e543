"""Client of the platform's table service."""

from goldcresthoist.table.client import TableClient
from goldcresthoist.table.errors import (
    ConditionFailed,
    OutcomeUnknown,
    TableError,
    TableUnavailable,
)
from goldcresthoist.table.items import Absent, Always, Condition, Equals, Key, Put

__all__ = [
    "Absent",
    "Always",
    "Condition",
    "ConditionFailed",
    "Equals",
    "Key",
    "OutcomeUnknown",
    "Put",
    "TableClient",
    "TableError",
    "TableUnavailable",
]
