"""HTTP interface for operators: status, metrics, configuration and operations."""

from goldcresthoist.operators.authentication import operator_key, request_mac
from goldcresthoist.operators.errors import (
    Conflict,
    InvalidRequest,
    NotAuthenticated,
    NotFound,
    OperatorsError,
    Unavailable,
)
from goldcresthoist.operators.model import (
    ApplyReport,
    ConfigurationRecord,
    ConfigurationSummary,
    DomainCount,
    HistoryEntry,
    OperationRecord,
    Settlement,
    Status,
)
from goldcresthoist.operators.server import OperatorServer
from goldcresthoist.operators.services import (
    ConfigurationService,
    OperationsService,
    StatusProvider,
)

__all__ = [
    "ApplyReport",
    "ConfigurationRecord",
    "ConfigurationService",
    "ConfigurationSummary",
    "Conflict",
    "DomainCount",
    "HistoryEntry",
    "InvalidRequest",
    "NotAuthenticated",
    "NotFound",
    "OperationRecord",
    "OperationsService",
    "OperatorServer",
    "OperatorsError",
    "Settlement",
    "Status",
    "StatusProvider",
    "Unavailable",
    "operator_key",
    "request_mac",
]
