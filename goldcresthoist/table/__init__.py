"""Client for the table service of the platform."""

from goldcresthoist.table.client import TableClient
from goldcresthoist.table.conditional_write import (
    Applied,
    NotSent,
    ReadBack,
    Refused,
    Undecided,
    WriteResult,
    write_until_known,
)
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
    "Applied",
    "Condition",
    "ConditionFailed",
    "Equals",
    "Key",
    "NotSent",
    "OutcomeUnknown",
    "Put",
    "Refused",
    "ReadBack",
    "TableClient",
    "TableError",
    "TableUnavailable",
    "Undecided",
    "WriteResult",
    "write_until_known",
]
